from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from chestnutshunt.usage import count
from chestnutshunt.usage import frozen_window
from chestnutshunt.usage import tally_book


def test_late_counts_go_into_the_next_window_once():
    book = tally_book.TallyBook('d/1')
    book.add(5, 'w', count.Count(2, 20))
    first = frozen_window.freeze(5, book.tallies_since(0), None)
    assert first.figures == {'w': count.Count(2, 20)}
    book.add(5, 'w', count.Count(1, 7))
    book.add(6, 'w', count.Count(4, 40))
    second = frozen_window.freeze(6, book.tallies_since(0), first)
    assert second.figures == {'w': count.Count(4, 40)}
    assert second.late == {'w': count.Count(1, 7)}
    third = frozen_window.freeze(7, book.tallies_since(0), second)
    assert (third.figures, third.late) == ({}, {})


def test_copies_count_once():
    one = tally_book.TallyBook('one/1')
    two = tally_book.TallyBook('two/1')
    one.add(1, 'w', count.Count(3, 0))
    two.merge(one.tallies_since(0))
    two.merge(one.tallies_since(0))
    one.merge(two.tallies_since(0))
    frozen = frozen_window.freeze(1, one.tallies_since(0), None)
    assert frozen.figures == {'w': count.Count(3, 0)}


def test_encoding_keeps_everything():
    book = tally_book.TallyBook('one/1')
    book.add(1, 'w', count.Count(3, 9))
    frozen = frozen_window.freeze(1, book.tallies_since(0), None)
    decoded = frozen_window.FrozenWindow.decode(frozen.encode())
    assert decoded == frozen


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2),
            strategies.sampled_from(['count', 'copy', 'freeze', 'lose']),
            strategies.integers(0, 2),
        ),
        max_size=60,
    )
)
def test_each_request_is_in_one_report(actions):
    """Every count is reported once if a copy reaches the reporter in time."""
    books = [tally_book.TallyBook(f'd{n}/1') for n in range(3)]
    window = 10
    expected = 0
    reported = 0
    previous = None
    for index, action, other in actions:
        if action == 'count':
            key = books[index].add(window, 'w', count.Count(1, 1))
            books[other].merge(books[index].select({key}))
            expected += 1
        elif action == 'copy':
            books[other].merge(books[index].tallies_since(0))
        elif action == 'freeze':
            for book in books:
                books[0].merge(book.tallies_since(0))
            previous = frozen_window.freeze(
                window, books[0].tallies_since(0), previous
            )
            for part in (previous.figures, previous.late):
                reported += part.get('w', count.Count()).requests
            window += 1
    for book in books:
        books[0].merge(book.tallies_since(0))
    for _ in range(2):
        previous = frozen_window.freeze(
            window, books[0].tallies_since(0), previous
        )
        for part in (previous.figures, previous.late):
            reported += part.get('w', count.Count()).requests
        window += 1
    assert reported == expected
