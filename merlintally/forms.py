"""Reads TOML documents into msgspec structs and reports every error of a document, each with its key.

A struct defines the keys with their types, ranges and defaults; `Annotated[..., Meta(description=...)]` holds
the meaning and unit of a key. `read` collects all errors of a document before it raises, `explain` lists the
keys.
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


class InputError(Exception):
    """Invalid input: a document or an argument. `lines` has one line per error, starting with its key."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("; ".join(lines))
        self.lines = lines


def _struct_of(type_: inspect.Type) -> inspect.StructType | None:
    if isinstance(type_, inspect.Metadata):
        return _struct_of(type_.type)
    return type_ if isinstance(type_, inspect.StructType) else None


def _item_struct_of(type_: inspect.Type) -> inspect.StructType | None:
    """Return the struct type of the items if `type_` is a list of structs, else None."""
    if isinstance(type_, inspect.Metadata):
        return _item_struct_of(type_.type)
    if isinstance(type_, inspect.VarTupleType | inspect.ListType):
        return _struct_of(type_.item_type)
    return None


def suggestion(word: str, known: list[str]) -> str:
    """Return a suggestion of the known word closest to `word`, or an empty string.

    >>> suggestion("fromat", ["format", "lines"]), suggestion("zzz", ["format"])
    (' (did you mean format?)', '')
    """
    close = difflib.get_close_matches(word, known, 1)
    return f" (did you mean {close[0]}?)" if close else ""


def _message_of(error: msgspec.ValidationError) -> str:
    """Return msgspec's message without the path to the key itself, which the caller adds in front."""
    text, _, path = str(error).partition(" - at ")
    return text + (f" at {path.strip('`').removeprefix('$')}" if path.strip("`") not in ("", "$") else "")


def _table_errors(table: object, struct: inspect.StructType, path: str) -> Iterator[str]:
    """Yield every error of a table at `path` against its struct: unknown, invalid and missing keys."""
    if not isinstance(table, Mapping):
        yield f"{path or 'the file'}: is not a table"
        return
    definitions = {field.encode_name: field for field in struct.fields}
    for key, value in table.items():
        key_path = f"{path}.{key}" if path else str(key)
        if key not in definitions:
            yield f"{key_path}: there is no such key{suggestion(str(key), list(definitions))}"
            continue
        inner, item_struct = _struct_of(definitions[key].type), _item_struct_of(definitions[key].type)
        if inner is not None:
            yield from _table_errors(value, inner, key_path)
        elif item_struct is not None and isinstance(value, list):
            for index, item in enumerate(value):
                yield from _table_errors(item, item_struct, f"{key_path}.{index}")
        else:
            try:
                msgspec.convert(value, _annotated_type(struct.cls, key))
            except msgspec.ValidationError as error:
                yield f"{key_path}: {_message_of(error)}, not {value!r:.60}"
    for key, definition in definitions.items():
        if definition.required and key not in table:
            yield f"{path}.{key}: is missing" if path else f"{key}: is missing"


def _annotated_type(struct: type, key: str) -> Any:
    return next(field.type for field in msgspec.structs.fields(struct) if field.encode_name == key)


def _cross_key_errors(value: object, path: str) -> Iterator[str]:
    """Yield errors between keys: a struct may define `faults()`, which yields pairs of key and message."""
    if isinstance(value, msgspec.Struct):
        if hasattr(value, "faults"):
            for key, text in value.faults():
                yield f"{path}{key}: {text}"
        for name in value.__struct_fields__:
            yield from _cross_key_errors(getattr(value, name), f"{path}{name}.")
    elif isinstance(value, tuple):
        for index, item in enumerate(value):
            yield from _cross_key_errors(item, f"{path}{index}.")


def read(document: object, struct: type[T]) -> T:
    """Convert a document to `struct`. Raises InputError with one line for each error."""
    info = inspect.type_info(struct)
    assert isinstance(info, inspect.StructType)
    if lines := list(_table_errors(document, info, "")):
        raise InputError(lines)
    converted = msgspec.convert(document, struct)
    if lines := list(_cross_key_errors(converted, "")):
        raise InputError(lines)
    return converted


def load(path: Path) -> dict[str, Any]:
    """Load a TOML file as a table. Raises InputError that names the file."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise InputError([f"{path}: can't be read: {error.strerror}"]) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise InputError([f"{path}: is not valid TOML: {error}"]) from None


def read_file(path: Path, struct: type[T]) -> T:
    """Load a TOML file and convert it to `struct`. Raises InputError."""
    return read(load(path), struct)


def _type_name(type_: inspect.Type) -> str:
    match type_:
        case inspect.Metadata():
            return _type_name(type_.type)
        case inspect.IntType():
            return "whole number"
        case inspect.FloatType():
            return "number"
        case inspect.StrType():
            return "text"
        case inspect.BoolType():
            return "true or false"
        case inspect.LiteralType():
            return " | ".join(map(str, type_.values))
        case inspect.VarTupleType() | inspect.ListType():
            return f"list of {_type_name(type_.item_type)}"
        case inspect.TupleType():
            return "[" + ", ".join(_type_name(item) for item in type_.item_types) + "]"
        case inspect.UnionType():
            return " or ".join(
                _type_name(member) for member in type_.types if not isinstance(member, inspect.NoneType)
            )
        case inspect.DictType():
            return "table"
        case inspect.StructType():
            return "table"
    return "value"


def explain(struct: type[msgspec.Struct], path: str = "") -> Iterator[tuple[str, str, str, str]]:
    """Yield key, type, default and meaning (with its unit) of all keys, in the order of the struct."""
    info = inspect.type_info(struct)
    assert isinstance(info, inspect.StructType)
    for field in info.fields:
        key_path = f"{path}{field.encode_name}"
        inner, item_struct = _struct_of(field.type), _item_struct_of(field.type)
        if inner is not None:
            yield from explain(inner.cls, f"{key_path}.")
        elif item_struct is not None:
            yield from explain(item_struct.cls, f"{key_path}[].")
        else:
            schema = field.type.extra_json_schema if isinstance(field.type, inspect.Metadata) else None
            default = "required" if field.required else repr(field.default)
            yield key_path, _type_name(field.type), default, str((schema or {}).get("description", ""))
