"""Response heads that break RFC 9110 or 9112, and odd ones that don't.

Each head is that of a response with an id and a signature. `{end}` stands for
the framing of its body, `{id}` for the id of the request.
"""

from tests import fake_target

BASE = (
    'HTTP/1.1 200 OK',
    'Content-Type: text/event-stream',
    'X-Request-Id: {id}',
    'X-Server-Stamp: sig',
    'X-Weight-Versions: 5',
    '{end}',
    'X-Last: 1',
)

LENGTHS = (
    *('', ' ', 'x', '{n}x', 'x{n}', '+{n}', '-{n}', '-1', '{n}.0', '{n}_0'),
    *('0x{n}', '{n} {n}', '{n};', '{n},', ',{n}', '{n},,{n}', '{n}, 1{n}'),
    *('"{n}"', '{n}e0', '\xb2', '\uff14', 'nan', '{n}\0', '\x0b{n}'),
    *('9' * 30, '9' * 5000, '{n}\r\nContent-Length: 1{n}'),
    '{n}\r\nContent-Length: x',
)

CODINGS = (
    *('', ' ', 'chunke', 'xchunked', 'chunked;a=b', 'chunked x', '"chunked"'),
    *('gzip', 'gzip, chunked', 'chunked, gzip', 'identity', 'chunked chunked'),
    *('chunked, chunked', 'chunked\r\nTransfer-Encoding: chunked'),
    *('chunked\0', '\x0bchunked', 'chunked\r\nContent-Length: 4'),
    'chunked\r\nContent-Length: x',
)

SEPARATORS = '"(),/;<=>?@[\\]{}'
CONTROLS = [chr(n) for n in range(32) if n not in (9, 10)] + ['\x7f']

NO_FIELDS = (
    *('no field', 'nofield', ': value', ':', '=?', '\0', '\xff\xfe', '{}'),
    *(' folded', '\tfolded', ' X-Name: value', 'Content-Length 4', ' ', '\r'),
    *('HTTP/1.1 200 OK', 'From x', '-----', 'X-Name\x85: 1', 'n\xe4me: 1'),
)

NAMES = (
    *('X Name', 'X-Name ', 'X-Name\t', ' X-Name', '\tX-Name', 'X\xa0Name'),
    *(f'X-{char}Name' for char in (*CONTROLS, *SEPARATORS) if char != '\r'),
    'X-\rName',
)

STATUS_LINES = (
    *(f'HTTP/1.1 {code} OK' for code in ('000', '00', '0', '99', '099')),
    *(f'HTTP/1.1 {code} OK' for code in ('600', '999', '1000', '2000', '20')),
    *(f'HTTP/1.1 {code} OK' for code in ('+200', '-200', '2_0', '2x0')),
    *(f'HTTP/1.1 {code} OK' for code in ('200.', '200,', '\xb200', '0200')),
    *('HTTP/1.1 200OK', 'HTTP/1.1', 'HTTP/1.1 ', 'HTTP/1.1 OK', '200 OK'),
    *('HTTP/2.0 200 OK', 'HTTP/0.9 200 OK', 'HTTP/1.x 200 OK'),
    *('HTTP/1 200 OK', 'HTTP/1.10 200 OK', 'http/1.1 200 OK', 'ICY 200 OK'),
    *('HTTP/1.1 200 O\0K', 'HTTP/1.1 200 O\x0bK', 'HTTP/1.1 200\rOK'),
    *('HTTP/1.1 101 Switching Protocols', 'HTTP/1.1\x0b200\x0bOK', ''),
    *('HTTP/1.1 100 C\r\n\r\nHTTP/1.1 600 X', 'HTTP/1.1 100 C\r\nx\r\n'),
)


def after(line, *lines):
    """Return the base head with lines behind the one that begins so."""
    place = 1 + next(n for n, x in enumerate(BASE) if x.startswith(line))
    return (*BASE[:place], *lines, *BASE[place:])


def ending(line):
    """Return the base head with another line for the framing."""
    return tuple(line if x == '{end}' else x for x in BASE)


def by_content(lines, build):
    return {ascii(line): build(line) for line in lines}


MALFORMED_LENGTHS = {
    f'length {value[:20]!a}, {len(value)}': ending(f'Content-Length: {value}')
    for value in LENGTHS
}
MALFORMED_CODINGS = {
    f'coding {value!a}': ending(f'Transfer-Encoding: {value}')
    for value in CODINGS
} | {
    'coding in HTTP/1.0': (
        'HTTP/1.0 200 OK',
        *ending('Transfer-Encoding: chunked')[1:],
    )
}
MALFORMED_FIELDS = (
    by_content(NO_FIELDS, lambda line: after('X-Weight', line))
    | {
        f'first {line!a}': after('HTTP', line)
        for line in ('no field', ' folded', 'X Name: 1')
    }
    | {f'last {line!a}': (*BASE, line) for line in NO_FIELDS}
    | {
        f'value {char!a}': after('X-Weight', f'X-Name: a{char}b')
        for char in CONTROLS
    }
)
MALFORMED_NAMES = by_content(
    NAMES, lambda name: after('X-Weight', f'{name}: 1')
) | {
    f'framing {name!a}': ending(f'{name}: {value}')
    for name, value in (
        ('Content-Length ', '{n}'),
        ('Content Length', '{n}'),
        ('Content\0Length', '{n}'),
        ('\x01Content-Length', '{n}'),
        ('Transfer-Encoding ', 'chunked'),
        (' Transfer-Encoding', 'chunked'),
        ('Transfer-Encoding\x0b', 'chunked'),
    )
}
MALFORMED_STATUS_LINES = by_content(
    STATUS_LINES, lambda line: (line, *BASE[1:])
)
GROUPS = {
    'status lines': MALFORMED_STATUS_LINES,
    'fields': MALFORMED_FIELDS,
    'names': MALFORMED_NAMES,
    'lengths': MALFORMED_LENGTHS,
    'codings': MALFORMED_CODINGS,
}
MALFORMED = {
    name: lines for group in GROUPS.values() for name, lines in group.items()
}

VALID = {
    'as usual': BASE,
    'no reason': ('HTTP/1.1 200 ', *BASE[1:]),
    'no space for a reason': ('HTTP/1.1 200', *BASE[1:]),
    'spaces in the status line': ('HTTP/1.1  200 \t OK ', *BASE[1:]),
    'a reason beyond ASCII': ('HTTP/1.1 200 \xfcber', *BASE[1:]),
    'a later minor version': ('HTTP/1.7 200 OK', *BASE[1:]),
    'any token': after('X-Weight', "!#$%&'*+-.^_`|~09azAZ: 1"),
    'an empty value': after('X-Weight', 'X-Empty:', 'X-Blank: \t '),
    'spaces around values': after('X-Weight', 'X-Name:\t  value \t'),
    'no space': after('X-Weight', 'X-Name:value'),
    'colons': after('X-Weight', 'X-Name: :a:b:'),
    'a name like that of a mailbox': after('X-Weight', 'From: x'),
    'bytes beyond ASCII': after(
        'X-Weight', 'X-Name: ' + ''.join(map(chr, range(0x80, 0x100)))
    ),
    'repeated fields': after('X-Weight', 'X-Name: a', 'X-Name: b'),
    'letter case': tuple(
        x if x.startswith(('HTTP', '{')) else x.replace('X-', 'x-')
        for x in BASE
    ),
    'interim responses': (
        'HTTP/1.1 100 Continue\r\n',
        'HTTP/1.1 102 Processing\r\n',
        'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nX-Early: 1\r\n',
        'HTTP/1.1 199 X\r\n',
        *BASE,
    ),
}
VALID_LENGTHS = {
    f'length {line!a}': ending(line)
    for line in (
        'content-length: {n}',
        'CONTENT-LENGTH:{n}',
        'Content-Length: \t{n} \t',
        'Content-Length: 000{n}',
        'Content-Length: {n}, {n}',
        'Content-Length: {n}\r\nContent-Length: {n}',
    )
}
VALID_CODINGS = {
    f'coding {line!a}': ending(line)
    for line in (
        'transfer-encoding: chunked',
        'TRANSFER-ENCODING:CHUNKED',
        'Transfer-Encoding: \tChunked \t',
        'Transfer-Encoding: , chunked ,',
    )
}


def chunked(*chunks):
    """Return a body in chunks, with the last one."""
    return b''.join(b'%x\r\n%s\r\n' % (len(x), x) for x in (*chunks, b''))


def respond(lines, body, framed=None, close=True):
    """Return a step that sends a response with such a head.

    Parameters
    ----------
    lines : sequence of str
        Lines of the head.
    body : bytes
        Body whose length the head tells, if it tells one.
    framed : bytes, optional
        Bytes to send behind the head, if others.
    close : bool, optional
        Whether to close the connection then.
    """

    def step(connection, fields):
        head = '\r\n'.join((*lines, '', ''))
        head = head.replace('{end}', f'Content-Length: {len(body)}')
        head = head.replace('{n}', str(len(body)))
        head = head.replace('{id}', fields.get('x-request-id', ''))
        data = head.encode('utf-8' if '\uff14' in head else 'latin-1')
        connection.sendall(data + (body if framed is None else framed))
        if close:
            fake_target.drop(connection, fields)

    return step
