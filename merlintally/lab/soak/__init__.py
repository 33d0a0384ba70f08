"""A randomized fault soak: real node processes on loopback under overlapping troubles, judged from what their
clients and app servers recorded. `run_soak` plays one seed."""

from merlintally.lab.soak.run import SoakResult, run_soak

__all__ = ["SoakResult", "run_soak"]
