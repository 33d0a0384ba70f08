"""The load tool: sends open-loop load to a node and measures latencies from the scheduled times."""
