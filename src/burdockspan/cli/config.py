"""`burdockspan config`: generation, comparison and acceptance."""

from __future__ import annotations

from burdockspan.cli.group import LazyGroup

config = LazyGroup(
    "config",
    "Generates, compares, accepts and shows the team's configuration.\n\n"
    "The usual order is: questionnaire check, config diff, config accept.",
    {
        "accept": "burdockspan.cli.config_accept:accept",
        "diff": "burdockspan.cli.config_diff:diff",
        "generate": "burdockspan.cli.config_generate:generate",
        "show": "burdockspan.cli.config_show:show",
        "status": "burdockspan.cli.config_status:status",
    },
)

__all__ = ["config"]
