"""Reads batches from standard input and writes a reply to each to standard output.

Run as `python -m merlintally.benchlink`. Malformed input ends it with exit status 2.
"""

from __future__ import annotations

import sys
import traceback

from merlintally.benchlink.codec import Link
from merlintally.benchlink.framing import batches
from merlintally.fields import Malformed


def main() -> int:
    link = Link()
    try:
        for first, lines in batches(sys.stdin):
            try:
                reply = link.answer(first, lines)
            except Malformed:
                raise
            except Exception as error:
                traceback.print_exc()
                node = next(iter(link.nodes), "node-0")
                serial = next((part[7:] for part in lines[0].split(" ") if part.startswith("serial=")), "0")
                reply = [f"FROM nodeId={node}", f"INTERNAL_ERROR line={error!r}", f"READY serial={serial}"]
            sys.stdout.write("\n".join(reply) + "\n")
            sys.stdout.flush()
    except Malformed as malformed:
        print(f"benchlink: {malformed}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
