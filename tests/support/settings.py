"""Templates of settings files for hosts in tests."""

HOST_SETTINGS = """
[host]
name = {name}
domain = {domain}
[callers]
listen = 127.0.0.1:0
[gateways]
listen = {gateways}
token = gateway-token
seeds = {seeds}
[operators]
listen = 127.0.0.1:0
token = operator-token
[platform]
address = {platform}
"""
# Tests date order ids by the virtual clock. A first view refuses ids for twice the
# clock skew, so a short skew shortens the wait for the first order.
ORDER_SETTINGS = HOST_SETTINGS + "[orders]\nclock_skew = 1 s\n"
