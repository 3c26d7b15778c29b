"""CBOR as the protocol uses it: maps with text keys, lists, text, numbers, booleans, null."""

import struct


class Raw:
    """A value that is encoded once and sent often."""

    def __init__(self, value):
        self.value, self.data = value, encode(value)


def encode(value):
    out = bytearray()
    _encode(value, out)
    return bytes(out)


def _head(major, number, out):
    if number < 24:
        out.append(major << 5 | number)
    elif number < 1 << 8:
        out += struct.pack(">BB", major << 5 | 24, number)
    elif number < 1 << 16:
        out += struct.pack(">BH", major << 5 | 25, number)
    elif number < 1 << 32:
        out += struct.pack(">BI", major << 5 | 26, number)
    else:
        out += struct.pack(">BQ", major << 5 | 27, number)


def _encode(value, out):
    if value is None:
        out.append(0xF6)
    elif value is True:
        out.append(0xF5)
    elif value is False:
        out.append(0xF4)
    elif isinstance(value, int):
        if value >= 0:
            _head(0, value, out)
        else:
            _head(1, -1 - value, out)
    elif isinstance(value, float):
        out += struct.pack(">Bd", 0xFB, value)
    elif isinstance(value, str):
        text = value.encode()
        _head(3, len(text), out)
        out += text
    elif isinstance(value, (list, tuple)):
        _head(4, len(value), out)
        for item in value:
            _encode(item, out)
    elif isinstance(value, Raw):
        out += value.data
    elif isinstance(value, dict):
        _head(5, len(value), out)
        for key, item in value.items():
            _encode(key, out)
            _encode(item, out)
    else:
        raise TypeError(type(value))


def decode(body):
    value, _ = _decode(body, 0)
    return value


_BREAK = object()


def _decode(data, at):
    first = data[at]
    at += 1
    major, info = first >> 5, first & 31
    if info < 24:
        number = info
    elif info == 24:
        number = data[at]
        at += 1
    elif info in (25, 26, 27):
        size = 1 << (info - 24)
        number = int.from_bytes(data[at:at + size], "big")
        raw = bytes(data[at:at + size])
        at += size
    elif info == 31:
        number = None
    else:
        raise ValueError("reserved")
    if major == 0:
        return number, at
    if major == 1:
        return -1 - number, at
    if major in (2, 3):
        if number is None:
            parts = []
            while True:
                part, at = _decode(data, at)
                if part is _BREAK:
                    break
                parts.append(part)
            return ("" if major == 3 else b"").join(parts), at
        raw = bytes(data[at:at + number])
        if len(raw) != number:
            raise ValueError("short")
        return (raw.decode() if major == 3 else raw), at + number
    if major == 4:
        items = []
        while number is None or len(items) < number:
            item, at = _decode(data, at)
            if item is _BREAK:
                break
            items.append(item)
        return items, at
    if major == 5:
        result = {}
        count = 0
        while number is None or count < number:
            key, at = _decode(data, at)
            if key is _BREAK:
                break
            result[key], at = _decode(data, at)
            count += 1
        return result, at
    if major == 6:
        return _decode(data, at)
    if info == 20:
        return False, at
    if info == 21:
        return True, at
    if info in (22, 23):
        return None, at
    if info == 25:
        return struct.unpack(">e", raw)[0], at
    if info == 26:
        return struct.unpack(">f", raw)[0], at
    if info == 27:
        return struct.unpack(">d", raw)[0], at
    if info == 31:
        return _BREAK, at
    raise ValueError("unknown simple value")
