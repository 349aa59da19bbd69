"""The table of measures that the demo prints."""

import attrs

__all__ = ['MeasureTable', 'Row']


@attrs.frozen
class Row:
    """One measure.

    Attributes
    ----------
    name : str
        What was measured.
    figure : str
        What the run gave.
    baseline : str
        The same without the product's control, empty if not measured.
    bound : str
        What is promised, empty for a measure without a bound.
    held : bool or None
        Whether the bound held; ``None`` without a bound.
    """

    name: str
    figure: str
    baseline: str = ''
    bound: str = ''
    held: bool | None = None


class MeasureTable:
    """Collects rows and prints them."""

    def __init__(self) -> None:
        self.rows: list[Row] = []

    def add(self, *fields: object) -> None:
        """Add a row; see `Row` for the fields."""
        self.rows.append(Row(*fields))

    def failed(self) -> bool:
        """Tell whether any bound did not hold."""
        return any(row.held is False for row in self.rows)

    def render(self) -> str:
        """Return the table as text."""
        lines = [
            f'{"measure":44}{"figure":>12}{"baseline":>12}'
            f'{"bound":>10}  verdict'
        ]
        for row in self.rows:
            verdict = {True: 'pass', False: 'FAIL', None: '-'}[row.held]
            lines.append(
                f'{row.name:44}{row.figure:>12}{row.baseline or "-":>12}'
                f'{row.bound or "-":>10}  {verdict}'
            )
        return '\n'.join(lines)
