"""`merlintally lab`."""

import click


@click.group()
def lab() -> None:
    """Play days in the laboratory."""
