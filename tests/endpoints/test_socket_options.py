"""When connections with a silent peer are given up."""

from __future__ import annotations

import socket
import unittest

from burdockspan.endpoints.connections import SOCKET_OPTIONS
from burdockspan.http.listener import CALLER_SOCKET_OPTIONS

# Limit of the time for which a lost caller or endpoint may hold its connection.
_LOST_S = 20.0


class SocketOptionsTest(unittest.TestCase):
    def test_silent_peers_are_given_up_in_time(self) -> None:
        """Guards against a user timeout that outlasts the probes, or ends them.

        Linux gives up a connection on which probes are unanswered by their
        count, or, if TCP_USER_TIMEOUT is set, with the first probe at which
        that time has passed since the last byte arrived. While data is
        unacknowledged, the same time counts.
        """
        for options in (SOCKET_OPTIONS, CALLER_SOCKET_OPTIONS):
            seconds_by_name = {
                name: float(value)
                for level, name, value in options
                if level == socket.IPPROTO_TCP
            }
            idle_s = seconds_by_name[socket.TCP_KEEPIDLE]
            interval_s = seconds_by_name[socket.TCP_KEEPINTVL]
            user_timeout_s = seconds_by_name[socket.TCP_USER_TIMEOUT] / 1000
            probes_s = [idle_s + number * interval_s for number in range(100)]
            idle_end_s = next(
                at_s for at_s in probes_s if at_s >= user_timeout_s
            )
            self.assertLessEqual(idle_end_s, _LOST_S)
            self.assertLessEqual(user_timeout_s, _LOST_S)
            # The count of the probes says the same, for other systems.
            counted_s = (
                idle_s + interval_s * seconds_by_name[socket.TCP_KEEPCNT]
            )
            self.assertEqual(counted_s, idle_end_s)
