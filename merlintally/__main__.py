"""One real edge node, told what to do by LB_CONFIG: `python -m merlintally`."""

import sys

from merlintally.net.node import main

if __name__ == "__main__":
    sys.exit(main())
