"""Links between VMs and endpoints, which can be cut for single VMs.

Endpoints tell VMs apart by the processes that own the other ends of their
connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import os
import pathlib
import weakref
from collections.abc import Callable, Iterator

_TCP_TABLE = pathlib.Path("/proc/net/tcp")
# Columns of the table: the two addresses, and the inode of the socket.
_LOCAL_COLUMN = 1
_REMOTE_COLUMN = 2
_INODE_COLUMN = 9
_POLL_S = 0.05


class Way(enum.Enum):
    """How a VM is cut off.

    RESET: open connections are reset, and new ones are reset at once.
    REFUSE: open connections live on, and new ones are reset at once.
    SILENT: nothing arrives on any connection.
    """

    RESET = "reset"
    REFUSE = "refuse"
    SILENT = "silent"


FindProcess = Callable[[], int | None]
"""Returns the ID of the present process of a VM; None if it has none."""


class EndpointLinks:
    """The links of VMs to the endpoints.

    Attributes:
      processes: the VMs whose links may be cut.
    """

    def __init__(self) -> None:
        self.processes: list[FindProcess] = []
        self._way_by_process: dict[FindProcess, Way] = {}
        # Looked up once, since the search takes milliseconds.
        self._owner_by_writer: weakref.WeakKeyDictionary[
            asyncio.StreamWriter, int | None
        ] = weakref.WeakKeyDictionary()

    def add(self, writer: asyncio.StreamWriter) -> None:
        """Adds a connection that an endpoint has accepted."""
        if not self.processes:
            return
        peer = writer.get_extra_info("peername")
        own = writer.get_extra_info("sockname")
        inode = _find_inode(peer[1], own[1]) if peer and own else None
        self._owner_by_writer[writer] = next(
            (
                process
                for process in (find() for find in self.processes)
                if inode is not None and _owns(process, inode)
            ),
            None,
        )

    @contextlib.contextmanager
    def cutting(self, find_process: FindProcess, way: Way) -> Iterator[None]:
        """Cuts a VM off during the block."""
        self._way_by_process[find_process] = way
        try:
            yield
        finally:
            del self._way_by_process[find_process]

    def find_way(self, writer: asyncio.StreamWriter) -> Way | None:
        """Returns how a connection is cut; None if it is not."""
        owner = self._owner_by_writer.get(writer)
        if owner is None:
            return None
        return next(
            (
                way
                for find_process, way in self._way_by_process.items()
                if find_process() == owner
            ),
            None,
        )

    async def wait_while_silent(self, writer: asyncio.StreamWriter) -> None:
        """Waits until a connection is not silent."""
        while self.find_way(writer) is Way.SILENT:
            await asyncio.sleep(_POLL_S)


def _find_inode(local_port: int, remote_port: int) -> str | None:
    """Returns the inode of the socket at one end of a connection."""
    local, remote = f":{local_port:04X}", f":{remote_port:04X}"
    for line in _TCP_TABLE.read_text().splitlines()[1:]:
        columns = line.split()
        if columns[_LOCAL_COLUMN].endswith(local) and columns[
            _REMOTE_COLUMN
        ].endswith(remote):
            return columns[_INODE_COLUMN]
    return None


def _owns(process: int | None, inode: str) -> bool:
    folder = f"/proc/{process}/fd"
    # A process or descriptor may be gone meanwhile.
    with contextlib.suppress(OSError):
        for name in os.listdir(folder):
            with contextlib.suppress(OSError):
                if os.readlink(f"{folder}/{name}") == f"socket:[{inode}]":
                    return True
    return False


__all__ = ["EndpointLinks", "Way"]
