"""One real edge node, as LB_CONFIG tells: `python -m merlintally`; with arguments, the command line."""

import sys

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from merlintally.cli import main
    else:  # the lean way: nothing is loaded that the node does not need
        from merlintally.net.node import main
    sys.exit(main())
