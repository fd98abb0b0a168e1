"""`burdockspan lookup`: the outcome of calls with an idempotency key."""

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
    """Prints the outcome of the calls with the idempotency key KEY.

    Keys belong to client accounts, so the account's token is needed. Prints
    {key, state, outcome, answer}: the outcome is not_run, ran or unknown, and
    the state of a key without a claim is absent. Exits with 1 if the entry VM
    refuses the request.
    """
    import json
    import os
    import urllib.parse

    from result import Err

    from burdockspan.cli.http_client import fetch

    token = token_file.read() if token_file else ""
    token = (token or os.environ.get("BURDOCKSPAN_TOKEN", "")).strip()
    if not token.isascii() or not token.isprintable() or not token:
        raise click.UsageError("Give --token-file or set BURDOCKSPAN_TOKEN.")
    path = f"/v1/outcomes/{urllib.parse.quote(key, safe='')}"
    fetched = fetch(address, path, {"Authorization": f"Bearer {token}"})
    if isinstance(fetched, Err):
        exits.exit_with(exits.UNREACHABLE, fetched.err_value)
    response = fetched.ok_value
    is_json = response.value is not None
    click.echo(
        json.dumps(response.value, indent=2) if is_json else response.text
    )
    if response.status != 200:
        exits.exit_with(
            exits.FAILED, f"{address}: HTTP status {response.status}"
        )


__all__ = ["lookup"]
