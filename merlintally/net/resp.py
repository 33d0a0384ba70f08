"""A parser and encoder for RESP2.

Parsing is done in place: results are spans of the buffer. Parsing functions return None while the input is
incomplete, and raise Malformed for input that is invalid or too long.
"""

from __future__ import annotations

from merlintally.fields import Malformed

MAX_VALUE_BYTES = 64 << 10  # set by the protocol
MAX_ARRAY_LENGTH = 64
MAX_LINE_BYTES = 512
Span = tuple[int, int]  # start and end in a buffer


def line_end(buffer: bytearray, start: int, end: int, max_bytes: int = MAX_LINE_BYTES) -> int | None:
    """Return the position of the CRLF that ends the line at `start`."""
    at = buffer.find(b"\r\n", start, end)
    if at < 0:
        if end - start > max_bytes:
            raise Malformed("a line is too long")
        return None
    return at


def length_at(buffer: bytearray, start: int, stop: int, max_length: int) -> int:
    """Return the length between `start` and `stop`, -1 for null."""
    digits = bytes(buffer[start:stop])
    if digits == b"-1":
        return -1
    if not digits.isdigit() or len(digits) > 9:
        raise Malformed("a length is no number")
    length = int(digits)
    if length > max_length:
        raise Malformed("a length is beyond what is allowed")
    return length


def head_at(
    buffer: bytearray, start: int, end: int, type_byte: bytes, max_length: int
) -> tuple[int, int] | None:
    """Return the length in the header line at `start`, and where that line ends."""
    if start >= end:
        return None
    if buffer[start] != type_byte[0]:
        raise Malformed(f"{type_byte.decode()} was due")
    stop = line_end(buffer, start, end)
    return None if stop is None else (length_at(buffer, start + 1, stop, max_length), stop + 2)


def bulk_at(buffer: bytearray, start: int, end: int) -> tuple[Span | None, int] | None:
    """Return the span of the bulk string at `start`, None for null, and where it ends."""
    head = head_at(buffer, start, end, b"$", MAX_VALUE_BYTES)
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
    """Return the spans of the bulk strings in the array at `start`, None for null, and where it ends.

    >>> array_at(bytearray(b"*2\\r\\n$4\\r\\nPING\\r\\n$-1\\r\\n"), 0, 19)
    ([(8, 12), None], 19)
    """
    head = head_at(buffer, start, end, b"*", MAX_ARRAY_LENGTH)
    if head is None:
        return None
    count, at = head
    spans: list[Span | None] = []
    for _ in range(count):
        element = bulk_at(buffer, at, end)
        if element is None:
            return None
        spans.append(element[0])
        at = element[1]
    return spans, at


def bulk(value: bytes) -> bytes:
    """Encode a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def array(*words: bytes) -> bytes:
    """Encode an array of bulk strings.

    >>> array(b"PING")
    b'*1\\r\\n$4\\r\\nPING\\r\\n'
    """
    return b"*%d\r\n%b" % (len(words), b"".join(bulk(word) for word in words))
