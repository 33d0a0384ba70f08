"""`python -m merlintally`: runs the edge node configured by LB_CONFIG; with arguments, the command line."""

import sys

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from merlintally.cli import main
    else:  # loads no module that the node does not need
        from merlintally.net.node import main
    sys.exit(main())
