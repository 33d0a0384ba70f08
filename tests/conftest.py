"""Tests known to fail for a real fault that is not mended yet: `KNOWN-RED.txt` at the root, a line each of
test, cause and issue, with bars between. Just these are expected to fail, and are printed; one that passes
again is an error until its line goes, and so is a line that names no test."""

from __future__ import annotations

from pathlib import Path

import pytest

MOST = 3  # lines: more is no list of exceptions
KEY = pytest.StashKey[dict[str, str]]()


def known_red(path: Path) -> dict[str, str]:
    """Cause and issue by test id. Raises UsageError for a line of another form, or too many."""
    rows = dict[str, str]()
    lines = path.read_text().splitlines() if path.exists() else []
    for number, line in enumerate(lines, 1):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{path.name}: line {number} is not of the form test | cause | issue")
        rows[parts[0]] = f"{parts[1]} (issue {parts[2]})"
    if len(rows) > MOST:
        raise pytest.UsageError(f"{path.name}: {len(rows)} tests, and {MOST} may be known to fail")
    return rows


def pytest_collection_modifyitems(
    session: pytest.Session, config: pytest.Config, items: list[pytest.Item]
) -> None:
    rows = config.stash[KEY] = known_red(config.rootpath / "KNOWN-RED.txt")
    for item in items:
        if item.nodeid in rows:
            item.add_marker(pytest.mark.xfail(reason=rows[item.nodeid], strict=True))
    files = {item.nodeid.split("::")[0] for item in items}
    lacking = [
        one
        for one in rows
        if one not in {item.nodeid for item in items}
        and (one.split("::")[0] in files or not (config.rootpath / one.split("::")[0]).exists())
    ]
    if lacking and not any("::" in argument for argument in config.args):
        raise pytest.UsageError(f"KNOWN-RED.txt: there is no test {', '.join(lacking)}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for test, cause in config.stash.get(KEY, {}).items():
        terminalreporter.write_line(f"known to fail: {test}: {cause}")
