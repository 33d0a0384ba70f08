"""Builds of the decisions that can play a day: the current module, another revision or file, or baselines."""
