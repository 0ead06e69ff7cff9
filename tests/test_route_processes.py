"""Tests of route hosts as processes on loopback."""

import json
import signal
import threading
from unittest import TestCase

from tools.route_cluster import RouteCluster, call


def numbers_of(cluster, host):
    """Return the numbers of the log events of a host."""
    lines = cluster.log(host.name).splitlines()
    return [json.loads(line)["number"] for line in lines if line.endswith("}")]


class ProcessTest(TestCase):
    def test_start_kill_and_stop(self):
        """Guards against a host that does not start, restart after a kill, or drain."""
        with RouteCluster({"north-a": (2, 2)}) as cluster:
            first, second = cluster.hosts
            answer = call(first, "/order/1", "POST", "c-1")
            self.assertEqual(answer.status, 200)
            self.assertEqual(cluster.runs(), {"c-1": 1})
            cluster.wait_for("directory", lambda: len(cluster.directory(second)) == 2)
            cluster.stop(first.name, signal.SIGKILL)
            gone = first.listen["callers"]
            cluster.wait_for("loss", lambda: gone not in cluster.directory(second))
            cluster.start_host(first)
            cluster.wait_ready(first)
            cluster.wait_for("return", lambda: gone in cluster.directory(second))
            self._check_stop(cluster, second)

    def _check_stop(self, cluster, host):
        """Guards against a drain that interrupts calls."""
        answers = []
        callers = [
            threading.Thread(
                target=lambda n=number: answers.append(
                    call(host, "/stream/draft/1", "POST", f"s-{n}")
                )
            )
            for number in range(10)
        ]
        for caller in callers:
            caller.start()
        cluster.processes[host.name].send_signal(signal.SIGHUP)
        # Two signals that are pending at once may be delivered in either order.
        cluster.wait_for("settings", lambda: 107 in numbers_of(cluster, host))
        status = cluster.stop(host.name)
        for caller in callers:
            caller.join()
        self.assertEqual(status, 0)
        self.assertEqual([answer.status for answer in answers], [200] * 10)
        for number in (101, 404, 104, 105, 102):
            self.assertIn(number, numbers_of(cluster, host))

    def test_missing_settings(self):
        """Guards against a start without required settings."""
        with RouteCluster({"north-a": (1, 1)}) as cluster:
            path = cluster.folder / "wrong.ini"
            path.write_text("[host]\nname = a\n", encoding="utf-8")
            cluster._start("wrong", "sassafraskeel.platform", str(path))
            self.assertEqual(cluster.processes["wrong"].wait(20), 2)
            self.assertIn("host.domain", cluster.log("wrong"))
