"""RESP2, parsed in place: what is found are spans of the buffer that was read into."""

from __future__ import annotations

from merlintally.fields import Malformed

MOST_VALUE = 64 << 10  # bytes of one value, by the protocol
MOST_WORDS = 64
MOST_LINE = 512
Span = tuple[int, int]


def line_end(buffer: bytearray, start: int, end: int, most: int = MOST_LINE) -> int | None:
    """Where the line that begins at `start` has its CRLF; None while it has not come."""
    at = buffer.find(b"\r\n", start, end)
    if at < 0:
        if end - start > most:
            raise Malformed("a line is too long")
        return None
    return at


def length_at(buffer: bytearray, start: int, stop: int, most: int) -> int:
    """The number between `start` and `stop`, -1 for null."""
    digits = bytes(buffer[start:stop])
    if digits == b"-1":
        return -1
    if not digits.isdigit() or len(digits) > 9:
        raise Malformed("a length is no number")
    found = int(digits)
    if found > most:
        raise Malformed("a length is beyond what is allowed")
    return found


def head_at(buffer: bytearray, start: int, end: int, mark: bytes, most: int) -> tuple[int, int] | None:
    """The number behind `mark` at `start`, and where its line ends; None while it is not whole."""
    if start >= end:
        return None
    if buffer[start] != mark[0]:
        raise Malformed(f"{mark.decode()} was due")
    stop = line_end(buffer, start, end)
    return None if stop is None else (length_at(buffer, start + 1, stop, most), stop + 2)


def bulk_at(buffer: bytearray, start: int, end: int) -> tuple[Span | None, int] | None:
    """The span of the bulk string at `start`, None for null, and where it ends; None while not whole."""
    head = head_at(buffer, start, end, b"$", MOST_VALUE)
    if head is None:
        return None
    length, first = head
    if length < 0:
        return None, first
    stop = first + length
    if stop + 2 > end:
        return None
    if buffer[stop : stop + 2] != b"\r\n":
        raise Malformed("a bulk string does not end where it should")
    return (first, stop), stop + 2


def array_at(buffer: bytearray, start: int, end: int) -> tuple[list[Span | None], int] | None:
    """The spans of an array of bulk strings and where it ends; None while it is not whole.

    >>> array_at(bytearray(b"*2\\r\\n$4\\r\\nPING\\r\\n$-1\\r\\n"), 0, 19)
    ([(8, 12), None], 19)
    """
    head = head_at(buffer, start, end, b"*", MOST_WORDS)
    if head is None:
        return None
    count, at = head
    spans: list[Span | None] = []
    for _ in range(count):
        found = bulk_at(buffer, at, end)
        if found is None:
            return None
        spans.append(found[0])
        at = found[1]
    return spans, at


def bulk(value: bytes) -> bytes:
    return b"$%d\r\n%b\r\n" % (len(value), value)


def array(*words: bytes) -> bytes:
    """An array of bulk strings.

    >>> array(b"PING")
    b'*1\\r\\n$4\\r\\nPING\\r\\n'
    """
    return b"*%d\r\n%b" % (len(words), b"".join(bulk(word) for word in words))
