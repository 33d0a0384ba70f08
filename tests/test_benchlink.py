"""The adapter for the bench: errors in the input name the line."""

from merlintally.benchlink.codec import Link
from merlintally.fields import Malformed


def answer(*lines: str) -> str:
    """The lines of the reply, or the error."""
    try:
        return "\n".join(Link().answer(1, ["TURN timeS=1.0 serial=7", *lines]))
    except Malformed as error:
        return str(error)


def test_empty_batch_is_acknowledged() -> None:
    assert answer() == "READY serial=7"


def test_errors_name_the_line_and_the_unknown_message_field_or_page() -> None:
    assert answer("CONTEXT nodeId=a", "LAUNCH salt=1", "NONSENSE") == "line 4: unknown message 'NONSENSE'"
    assert "salt" in answer("CONTEXT nodeId=a", "LAUNCH salt=x")
    roster = answer("CONTEXT nodeId=a", "LAUNCH salt=1", "ROSTER_CHANGE mode=C page=3")
    assert roster == "line 4: unknown page 3: no POOL has defined it"
    assert "has not been launched" in answer("CONTEXT nodeId=a", "TIMER cookie=1")


def test_crashed_node_sends_nothing() -> None:
    assert answer("CONTEXT nodeId=a", "LAUNCH salt=1", "CRASH_NOW") == "READY serial=7"
