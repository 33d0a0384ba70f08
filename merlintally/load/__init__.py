"""The load tool: open-loop submissions to a node, with latencies counted from their scheduled times."""
