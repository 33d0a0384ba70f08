"""Aliases for names of earlier revisions, so that an earlier choice.py runs with the current modules."""

from __future__ import annotations

from types import ModuleType
from typing import Any

# Per module, or class of a module: a name that may be missing there, and the name used in its place.
ALIASES: dict[str, dict[str, str]] = {
    # An earlier choice.py uses the earlier names of the modules that it imports.
    "notes": {"told": "encode_note", "unpack": "decode_note"},
    "slow_start.SlowStart": {"listed": "update_servers", "room": "has_room", "sent": "record_send"},
    # `lab why` reads the current names on the objects of an earlier choice.py.
    "choice.Customer": {
        "last_update_at": "heard",
        "advanced_at": "at",
        "within_quota": "inside",
        "exceeds_ceiling": "short_of_ceiling",
    },
    "choice.Submission": {
        "execution_count": "count",
        "useful_until": "useful",
        "beyond_quota": "beyond",
    },
}


def add_aliases(module: ModuleType) -> None:
    """Make the names of `ALIASES` available in a module of a build that does not define them itself."""
    module_name = module.__name__.rpartition(".")[2]
    for owner, names in ALIASES.items():
        owner_module, _, class_name = owner.partition(".")
        if owner_module != module_name:
            continue
        if not class_name:
            _alias_in_module(module, names)
        elif (owner_class := getattr(module, class_name, None)) is not None:
            _alias_in_class(owner_class, names)


def _alias_in_module(module: Any, names: dict[str, str]) -> None:
    def find(name: str) -> Any:
        if name not in names:
            raise AttributeError(f"module {module.__name__!r} has no attribute {name!r}")
        return getattr(module, names[name])

    module.__getattr__ = find


def _alias_in_class(owner: Any, names: dict[str, str]) -> None:
    def find(self: Any, name: str) -> Any:
        if name not in names:
            raise AttributeError(f"{owner.__name__!r} object has no attribute {name!r}")
        return getattr(self, names[name])

    owner.__getattr__ = find
