"""Finds builds by name and loads them: the module as it stands, a revision or file of it, or a baseline."""

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

PACKAGE = Path(__file__).resolve().parents[2]  # the folder of the module as it stands
IMPORTS = re.compile(r"^(\s*(?:from|import)\s+)merlintally\b", re.MULTILINE)


class _Loader(importlib.abc.Loader):
    def __init__(self, source: str, origin: str) -> None:
        self.source, self.origin = source, origin

    def exec_module(self, module: ModuleType) -> None:
        exec(compile(self.source, self.origin, "exec"), module.__dict__)
        add_aliases(module)


class _Finder(importlib.abc.MetaPathFinder):
    """Finds the modules of one build under a package name of its own; its imports are led there, too."""

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
        told = IMPORTS.sub(rf"\g<1>{self.package}", source)
        return importlib.machinery.ModuleSpec(fullname, _Loader(told, fullname))


def _git(*words: str) -> str | None:
    done = subprocess.run(["git", *words], capture_output=True, text=True, check=False, cwd=PACKAGE.parent)
    return done.stdout if done.returncode == 0 else None


def _loaded(name: str, origin: str, read: Callable[[str], str | None]) -> Build:
    text = read("choice.py") or ""
    digest = blake2b(text.encode(), digest_size=6).hexdigest()
    package = f"merlintally_build_{blake2b(origin.encode(), digest_size=4).hexdigest()}_{digest}"
    if package not in sys.modules:
        sys.meta_path.insert(0, _Finder(package, read))
    return Build(name, package, digest)


def build(name: str) -> Build:
    """`here`; `git:REVISION`; the path of another choice.py, or of a folder that holds one beside its
    modules; or a baseline. InputError if there is no such build."""
    own = PACKAGE
    if name == "here":
        text = (own / "choice.py").read_text(encoding="utf-8")
        return Build(name, "merlintally", blake2b(text.encode(), digest_size=6).hexdigest())
    if name in BASELINES:
        return BASELINES[name](name)
    if name.startswith("git:"):
        revision = _git("rev-parse", "--verify", "--quiet", f"{name[4:]}^{{commit}}")
        if revision is None or _git("cat-file", "-e", f"{revision.strip()}:merlintally/choice.py") is None:
            raise InputError([f"{name}: no such revision, or it has no merlintally/choice.py"])
        return _loaded(name, name, lambda path: _git("show", f"{revision.strip()}:merlintally/{path}"))
    path = Path(name)
    if path.is_dir() and (path / "choice.py").is_file():
        return _loaded(name, str(path.resolve()), lambda part: _text(path / part) or _text(own / part))
    if path.is_file():
        return _loaded(
            name, str(path.resolve()), lambda part: _text(path if part == "choice.py" else own / part)
        )
    raise InputError(
        [
            f"{name}: there is no such build{suggestion(name, ['here', *BASELINES])}; "
            f"here, git:REVISION, a path, or one of {', '.join(BASELINES)}"
        ]
    )


def _text(path: Path) -> str | None:
    return path.read_text(encoding="utf-8") if path.is_file() else None
