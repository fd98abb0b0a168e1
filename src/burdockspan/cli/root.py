"""The root of the command line."""

from __future__ import annotations

from burdockspan.cli.exits import EXIT_CODES_HELP
from burdockspan.cli.group import LazyGroup

_HELP = f"""Router between callers and endpoints, and its operator commands.

Run `burdockspan COMMAND --help` for a command's options.

{EXIT_CODES_HELP}"""

_MODULES = {
    "completion": "burdockspan.cli.completion:completion",
    "config": "burdockspan.cli.config:config",
    "drain": "burdockspan.cli.drain:drain",
    "entry": "burdockspan.cli.entry:entry",
    "explain": "burdockspan.cli.explain:explain",
    "gateway": "burdockspan.cli.gateway:gateway",
    "lookup": "burdockspan.cli.lookup:lookup",
    "questionnaire": "burdockspan.cli.questionnaire:questionnaire",
    "role": "burdockspan.cli.role:role",
    "status": "burdockspan.cli.status:status",
    "stop": "burdockspan.cli.stop:stop",
    "undrain": "burdockspan.cli.undrain:undrain",
    "validate": "burdockspan.cli.validate:validate",
    "version": "burdockspan.cli.version:version",
}

root = LazyGroup("burdockspan", _HELP, _MODULES)

__all__ = ["root"]
