"""Reads batches on standard input and answers each on standard output: `python -m merlintally.benchlink`."""

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
                where = next(iter(link.nodes), "node-0")
                serial = next((p[7:] for p in lines[0].split(" ") if p.startswith("serial=")), "0")
                reply = [f"FROM nodeId={where}", f"INTERNAL_ERROR line={error!r}", f"READY serial={serial}"]
            sys.stdout.write("\n".join(reply) + "\n")
            sys.stdout.flush()
    except Malformed as wrong:
        print(f"benchlink: {wrong}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
