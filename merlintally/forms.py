"""Files that people write (TOML), read against msgspec structs: every fault is told, each with its key.

A struct names the keys, their types, ranges and defaults; `Annotated[..., Meta(description=...)]` says what a
key means and its unit. `read` gathers all faults of a document in one go, `explain` lists the keys.
"""

from __future__ import annotations

import difflib
import tomllib
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, TypeVar

import msgspec
from msgspec import inspect

T = TypeVar("T", bound=msgspec.Struct)


class Faults(Exception):
    """A document can't be used: one line for each fault, each beginning with the key's path."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("; ".join(lines))
        self.lines = lines


def _struct_of(kind: inspect.Type) -> inspect.StructType | None:
    if isinstance(kind, inspect.Metadata):
        return _struct_of(kind.type)
    return kind if isinstance(kind, inspect.StructType) else None


def _item_of(kind: inspect.Type) -> inspect.StructType | None:
    """The struct of which `kind` is a list, if it is one."""
    if isinstance(kind, inspect.Metadata):
        return _item_of(kind.type)
    if isinstance(kind, inspect.VarTupleType | inspect.ListType):
        return _struct_of(kind.item_type)
    return None


def nearest(word: str, words: list[str]) -> str:
    """A hint at the known word that is meant, or nothing.

    >>> nearest("fromat", ["format", "lines"]), nearest("zzz", ["format"])
    (' (did you mean format?)', '')
    """
    close = difflib.get_close_matches(word, words, 1)
    return f" (did you mean {close[0]}?)" if close else ""


def _said(wrong: msgspec.ValidationError) -> str:
    """What msgspec found wrong, without the path, which is the key's already."""
    text, _, where = str(wrong).partition(" - at ")
    return text + (f" at {where.strip('`').removeprefix('$')}" if where.strip("`") not in ("", "$") else "")


def _check(value: object, kind: inspect.StructType, path: str) -> Iterator[str]:
    """Every fault of one table against its struct, by path."""
    if not isinstance(value, Mapping):
        yield f"{path or 'the file'}: is no table"
        return
    rows = {field.encode_name: field for field in kind.fields}
    for key, one in value.items():
        where = f"{path}.{key}" if path else str(key)
        if key not in rows:
            yield f"{where}: there is no such key{nearest(str(key), list(rows))}"
            continue
        inner, item = _struct_of(rows[key].type), _item_of(rows[key].type)
        if inner is not None:
            yield from _check(one, inner, where)
        elif item is not None and isinstance(one, list):
            for at, each in enumerate(one):
                yield from _check(each, item, f"{where}.{at}")
        else:
            try:
                msgspec.convert(one, _annotated(kind.cls, key))
            except msgspec.ValidationError as wrong:
                yield f"{where}: {_said(wrong)}, not {one!r:.60}"
    for key, row in rows.items():
        if row.required and key not in value:
            yield f"{path}.{key}: is missing" if path else f"{key}: is missing"


def _annotated(struct: type, key: str) -> Any:
    return next(one.type for one in msgspec.structs.fields(struct) if one.encode_name == key)


def _cross(value: object, path: str) -> Iterator[str]:
    """Faults between keys: a struct may have `faults()`, which gives pairs of a key and what is wrong."""
    if isinstance(value, msgspec.Struct):
        if hasattr(value, "faults"):
            for key, text in value.faults():
                yield f"{path}{key}: {text}"
        for name in value.__struct_fields__:
            yield from _cross(getattr(value, name), f"{path}{name}.")
    elif isinstance(value, tuple):
        for at, one in enumerate(value):
            yield from _cross(one, f"{path}{at}.")


def read(document: object, kind: type[T]) -> T:
    """The document as `kind`, or Faults with a line for each fault."""
    found = inspect.type_info(kind)
    assert isinstance(found, inspect.StructType)
    if lines := list(_check(document, found, "")):
        raise Faults(lines)
    made = msgspec.convert(document, kind)
    if lines := list(_cross(made, "")):
        raise Faults(lines)
    return made


def load(path: Path) -> dict[str, Any]:
    """A TOML file as a table, or Faults that name the file."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as wrong:
        raise Faults([f"{path}: can't be read: {wrong.strerror}"]) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as wrong:
        raise Faults([f"{path}: is no TOML: {wrong}"]) from None


def read_file(path: Path, kind: type[T]) -> T:
    return read(load(path), kind)


def _type_name(kind: inspect.Type) -> str:
    match kind:
        case inspect.Metadata():
            return _type_name(kind.type)
        case inspect.IntType():
            return "whole number"
        case inspect.FloatType():
            return "number"
        case inspect.StrType():
            return "text"
        case inspect.BoolType():
            return "true or false"
        case inspect.LiteralType():
            return " | ".join(map(str, kind.values))
        case inspect.VarTupleType() | inspect.ListType():
            return f"list of {_type_name(kind.item_type)}"
        case inspect.TupleType():
            return "[" + ", ".join(_type_name(one) for one in kind.item_types) + "]"
        case inspect.UnionType():
            return " or ".join(_type_name(one) for one in kind.types if not isinstance(one, inspect.NoneType))
        case inspect.DictType():
            return "table"
        case inspect.StructType():
            return "table"
    return "value"


def explain(kind: type[msgspec.Struct], path: str = "") -> Iterator[tuple[str, str, str, str]]:
    """Rows of key, type, default and meaning (with its unit), for all keys of a file in their order."""
    found = inspect.type_info(kind)
    assert isinstance(found, inspect.StructType)
    for field in found.fields:
        where = f"{path}{field.encode_name}"
        inner, item = _struct_of(field.type), _item_of(field.type)
        if inner is not None:
            yield from explain(inner.cls, f"{where}.")
        elif item is not None:
            yield from explain(item.cls, f"{where}[].")
        else:
            schema = field.type.extra_json_schema if isinstance(field.type, inspect.Metadata) else None
            default = "required" if field.required else repr(field.default)
            yield where, _type_name(field.type), default, str((schema or {}).get("description", ""))
