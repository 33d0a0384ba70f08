"""Loads builds by name: the current module, another revision or file of it, or a baseline."""

from __future__ import annotations

import importlib.abc
import importlib.machinery
import re
import subprocess
import sys
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path
from types import ModuleType
from typing import Any

from merlintally.forms import InputError, suggestion
from merlintally.lab.builds.base import Build
from merlintally.lab.builds.baselines import BASELINES
from merlintally.lab.builds.earlier_names import add_aliases

PACKAGE = Path(__file__).resolve().parents[2]  # folder of the current modules
PACKAGE_IMPORT = re.compile(r"^(\s*(?:from|import)\s+)merlintally\b", re.MULTILINE)


class _Loader(importlib.abc.Loader):
    """Executes given source as a module, with aliases for earlier names."""

    def __init__(self, source: str, origin: str) -> None:
        self.source, self.origin = source, origin

    def exec_module(self, module: ModuleType) -> None:
        exec(compile(self.source, self.origin, "exec"), module.__dict__)
        add_aliases(module)


class _Finder(importlib.abc.MetaPathFinder):
    """Finds the modules of one build under its own package name, to which their imports are rewritten."""

    def __init__(self, package: str, read: Callable[[str], str | None]) -> None:
        self.package, self.read = package, read

    def find_spec(
        self, fullname: str, path: Any, target: Any = None
    ) -> importlib.machinery.ModuleSpec | None:
        if fullname == self.package:
            return importlib.machinery.ModuleSpec(fullname, _Loader("", fullname), is_package=True)
        if not fullname.startswith(f"{self.package}."):
            return None
        source = self.read(fullname.removeprefix(f"{self.package}.").replace(".", "/") + ".py")
        if source is None:
            return None
        rewritten = PACKAGE_IMPORT.sub(rf"\g<1>{self.package}", source)
        return importlib.machinery.ModuleSpec(fullname, _Loader(rewritten, fullname))


def _git(*arguments: str) -> str | None:
    """Output of a git command in the checkout; None if it fails."""
    result = subprocess.run(
        ["git", *arguments], capture_output=True, text=True, check=False, cwd=PACKAGE.parent
    )
    return result.stdout if result.returncode == 0 else None


def _load_build(name: str, origin: str, read: Callable[[str], str | None]) -> Build:
    """The build whose modules `read` gives by path; `origin` makes its package name unique."""
    text = read("choice.py") or ""
    digest = blake2b(text.encode(), digest_size=6).hexdigest()
    package = f"merlintally_build_{blake2b(origin.encode(), digest_size=4).hexdigest()}_{digest}"
    if package not in sys.modules:
        sys.meta_path.insert(0, _Finder(package, read))
    return Build(name, package, digest)


def build(name: str) -> Build:
    """Load a build; InputError if there is none of that name.

    `name` is `here`, `git:REVISION`, the path of another choice.py or of a folder with one and perhaps other
    modules, or the name of a baseline.
    """
    current = PACKAGE
    if name == "here":
        text = (current / "choice.py").read_text(encoding="utf-8")
        return Build(name, "merlintally", blake2b(text.encode(), digest_size=6).hexdigest())
    if name in BASELINES:
        return BASELINES[name](name)
    if name.startswith("git:"):
        revision = _git("rev-parse", "--verify", "--quiet", f"{name[4:]}^{{commit}}")
        if revision is None or _git("cat-file", "-e", f"{revision.strip()}:merlintally/choice.py") is None:
            raise InputError([f"{name}: no such revision, or it has no merlintally/choice.py"])
        return _load_build(name, name, lambda file: _git("show", f"{revision.strip()}:merlintally/{file}"))
    path = Path(name)
    if path.is_dir() and (path / "choice.py").is_file():
        return _load_build(
            name,
            str(path.resolve()),
            lambda module: _read_text(path / module) or _read_text(current / module),
        )
    if path.is_file():
        return _load_build(
            name,
            str(path.resolve()),
            lambda module: _read_text(path if module == "choice.py" else current / module),
        )
    raise InputError(
        [
            f"{name}: there is no such build{suggestion(name, ['here', *BASELINES])}; "
            f"use here, git:REVISION, a path, or one of {', '.join(BASELINES)}"
        ]
    )


def _read_text(path: Path) -> str | None:
    return path.read_text(encoding="utf-8") if path.is_file() else None
