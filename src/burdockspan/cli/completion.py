"""`burdockspan completion`: prints a shell completion script."""

from __future__ import annotations

import click

_HELP = """Prints the completion script of a shell.

\b
bash: eval "$(burdockspan completion bash)"        in ~/.bashrc
zsh:  eval "$(burdockspan completion zsh)"         in ~/.zshrc
fish: burdockspan completion fish | source         in config.fish
"""


@click.command(help=_HELP)
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Prints the completion script of a shell."""
    from click.shell_completion import get_completion_class

    from burdockspan.cli.root import root

    script = get_completion_class(shell)
    assert script is not None
    variable = "_BURDOCKSPAN_COMPLETE"
    click.echo(script(root, {}, "burdockspan", variable).source())


__all__ = ["completion"]
