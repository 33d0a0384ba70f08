"""The adapter: what is malformed is named with its line."""

from merlintally.benchlink.codec import Link
from merlintally.fields import Malformed


def answer(*lines: str) -> str:
    """The reply's lines, or what was said of a malformed one."""
    try:
        return "\n".join(Link().answer(1, ["TURN timeS=1.0 serial=7", *lines]))
    except Malformed as wrong:
        return str(wrong)


def test_empty_batch() -> None:
    assert answer() == "READY serial=7"


def test_unknown_message_missing_field_and_unknown_page_are_named() -> None:
    assert answer("CONTEXT nodeId=a", "LAUNCH salt=1", "NONSENSE") == "line 4: unknown message 'NONSENSE'"
    assert "salt" in answer("CONTEXT nodeId=a", "LAUNCH salt=x")
    roster = answer("CONTEXT nodeId=a", "LAUNCH salt=1", "ROSTER_CHANGE mode=C page=3")
    assert roster == "line 4: unknown page 3: no POOL has defined it"
    assert "has not been launched" in answer("CONTEXT nodeId=a", "TIMER cookie=1")


def test_stopped_instance_says_nothing() -> None:
    assert answer("CONTEXT nodeId=a", "LAUNCH salt=1", "CRASH_NOW") == "READY serial=7"
