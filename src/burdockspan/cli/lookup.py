"""`burdockspan lookup`: what became of an idempotency key."""

from __future__ import annotations

from typing import IO

import click

from burdockspan.cli import exits, options


@click.command(epilog=exits.EXIT_CODES_HELP)
@click.argument("key")
@click.option(
    "--entry",
    "address",
    required=True,
    metavar="IP:PORT",
    envvar="BURDOCKSPAN_ENTRY",
    show_envvar=True,
    callback=options.check_addresses,
    help="Caller address of an entry VM or of the load balancer.",
)
@click.option(
    "--token-file",
    type=click.File("r"),
    help="File that holds the client account's bearer token. Without it, the "
    "token is read from the environment variable BURDOCKSPAN_TOKEN.",
)
def lookup(key: str, address: str, token_file: IO[str] | None) -> None:
    """Prints what is known of the calls made with idempotency key KEY.

    Keys belong to client accounts, so the account's token is needed. Prints
    {key, state, outcome, answer}: the outcome is not_run, ran or unknown, and
    the state of a key without a claim is absent. Ends with 1 when the entry
    VM refuses.
    """
    import json
    import os
    import urllib.parse

    from result import Err

    from burdockspan.cli.asking import ask

    token = token_file.read() if token_file else ""
    token = (token or os.environ.get("BURDOCKSPAN_TOKEN", "")).strip()
    if not token.isascii() or not token.isprintable() or not token:
        raise click.UsageError("Give --token-file or set BURDOCKSPAN_TOKEN.")
    path = f"/v1/outcomes/{urllib.parse.quote(key, safe='')}"
    answer = ask(address, path, {"Authorization": f"Bearer {token}"})
    if isinstance(answer, Err):
        exits.stop(exits.UNREACHABLE, answer.err_value)
    found = answer.ok_value
    readable = found.value is not None
    click.echo(json.dumps(found.value, indent=2) if readable else found.text)
    if found.status != 200:
        exits.stop(exits.FAILED, f"{address}: HTTP status {found.status}")


__all__ = ["lookup"]
