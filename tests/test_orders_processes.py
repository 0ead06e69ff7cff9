"""Tests of orders whose owner is a process that is paused or killed."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor
from unittest import TestCase

from sassafraskeel.decisions.ownership import owner_and_witness
from tools.cluster import Cluster, request_json
from tools.demo import (
    accept_deployment_sheet,
    call,
    find_complete_views,
    new_order_id,
    wait_for_orders,
)
from tools.deployments import Deployment, ReplicaGroup

PATH = "/w/shop/desk/orders"
DEPLOYMENT = Deployment(
    name="orders",
    regions={"fes-a": "fes"},
    hosts={"fes-a": 3},
    replicas=(ReplicaGroup("desk", "fes-a", 1),),
    model_service="chat",
    plain_service="desk",
    model="keel-llm",
    workspaces={"shop": "fes-a"},
    store_region="fes",
    domain_delay_ms=3.0,
    region_delay_ms=80.0,
    client_delay_ms=1.0,
    weights=(1.0, 1.0, 1.0),
)


class ProcessTest(TestCase):
    def test_paused_and_killed_owner(self):
        """Guards against a second execution of an order whose owner stops.

        The owner is paused by SIGSTOP or killed; the fault shows only with real
        processes.
        """
        with Cluster(DEPLOYMENT) as self.cluster, ThreadPoolExecutor(4) as pool:
            accept_deployment_sheet(self.cluster)
            wait_for_orders(self.cluster)
            for signal_number in (signal.SIGSTOP, signal.SIGKILL):
                key, owner = self.order_with_owner()
                gateway = next(gw for gw in self.cluster.gateways if gw is not owner)
                self.set_delay(1.5)
                first = pool.submit(self.send_until_run, gateway, key)
                self.cluster.wait_for(lambda key=key: self.runs(key) > 0, 10)
                self.cluster.processes[owner.name].send_signal(signal_number)
                self.set_delay(0.01)
                others = [gw for gw in self.cluster.gateways if gw is not owner]
                self.check(key, others, {"unknown", "not_run", "answered"})
                if signal_number == signal.SIGSTOP:
                    # With the time of the attempts above, the promises have expired.
                    time.sleep(1)
                    self.check(key, others, {"unknown", "answered"})
                    self.cluster.processes[owner.name].send_signal(signal.SIGCONT)
                    self.assertIn(first.result(), {"answered", "unknown"})
                    self.cluster.wait_for(lambda: find_complete_views(self.cluster), 10)
                    self.check(key, self.cluster.gateways, {"answered"})
                else:
                    self.assertEqual(first.result(), "unknown")
                    self.cluster.processes[owner.name].wait()
                    self.cluster.start_gateway(owner)
                    wait_for_orders(self.cluster)
                    self.check(key, self.cluster.gateways, {"unknown"})
                self.assertEqual(self.runs(key), 1)

    def order_with_owner(self):
        """Return a new order id and the gateway that owns it."""
        self.cluster.wait_for(lambda: find_complete_views(self.cluster), 10)
        view = request_json("GET", self.cluster.platform, "/kv/views/fes-a")["value"]
        names = {item["incarnation"]: item["host"] for item in view["members"]}
        key = new_order_id()
        owner = names[owner_and_witness(key, names)[0]]
        return key, next(gw for gw in self.cluster.gateways if gw.name == owner)

    def check(self, key, gateways, expected):
        """Send an order to some gateways; check its outcomes and executions."""
        for gateway in gateways:
            outcome = self.send(gateway, key)
            self.assertIn(outcome, expected)
            self.assertFalse(outcome == "not_run" and self.runs(key))
            self.assertLessEqual(self.runs(key), 1)

    def send(self, gateway, key):
        headers = {"Idempotency-Key": key, "X-Deadline-Ms": "2000"}
        return call(gateway.callers, "POST", PATH, b"{}", headers)[0]

    def send_until_run(self, gateway, key):
        """Send an order up to five times until it runs; return the last outcome."""
        for _ in range(5):
            outcome = self.send(gateway, key)
            if self.runs(key):
                break
        return outcome

    def runs(self, key):
        """Return the number of executions of an order by the service."""
        address = self.cluster.upstreams[0].address
        return request_json("GET", address, "/ledger")["writes"].get(key, 0)

    def set_delay(self, seconds):
        address = self.cluster.upstreams[0].address
        request_json("POST", address, "/faults", {"delay": seconds})
