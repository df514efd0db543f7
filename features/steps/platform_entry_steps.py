"""Steps for entries of the platform's store."""

import copy
import json

from behave import then
from behave import when

from jasminecrank import platform
from jasminecrank.mesh import state

SERVER = {
    "address": "10.128.0.9:8080",
    "born": 1785414082129,
    "info": {
        "service": "huvo11a",
        "version": "v1",
        "zone": "belt-a",
        "slots": 12,
    },
    "status": {"state": "ready", "seq": 4, "coldLeftMs": 0},
}
CONFIG = {
    "version": 7,
    "baseVersion": 5,
    "resources": [
        {
            "typeUrl": "routes",
            "metadata": {"name": "r-1"},
            "spec": {
                "host": "ficu95.example",
                "prefix": "/lohu930/",
                "kind": "safe",
                "timeoutMs": 1000,
                "targetLatencyMs": 300,
                "priority": 2,
                "split": [
                    {"service": "huvo11a", "weight": 90},
                    {"service": "wuno96b", "weight": 10},
                ],
                "maxAttempts": 2,
                "public": False,
            },
        },
        {
            "typeUrl": "services",
            "metadata": {"name": "huvo11a"},
            "spec": {"healthPath": "/healthz", "coldPerS": 31.0},
        },
        {
            "typeUrl": "services",
            "metadata": {"name": "wuno96b"},
            "spec": {"healthPath": "/healthz", "coldPerS": 31.0},
        },
        {
            "typeUrl": "tenants",
            "metadata": {"name": "huka270"},
            "spec": {"apiKeys": ["k1", "k2"], "ratePerS": 149},
        },
    ],
}


HUVO = {"service": "huvo11a", "weight": 90}
WUNO = {"service": "wuno96b", "weight": 10}
TARGETS_BY_CHANGE = {
    "only parts of weight 0": {"split": [HUVO | {"weight": 0}]},
    "a part of weight 0": {"split": [HUVO, WUNO | {"weight": 0}]},
    "a part of weight 0 that is of no service": {
        "split": [HUVO, {"service": "absent", "weight": 0}]
    },
    "a single part": {"split": [WUNO]},
    "a service beside its split": {
        "split": [HUVO, WUNO],
        "service": "wuno96b",
    },
    "a service instead of its split": {"service": "wuno96b"},
    "a service and an empty split": {"split": [], "service": "wuno96b"},
    "fractions as weights": {
        "split": [HUVO | {"weight": 0.9}, WUNO | {"weight": 0.1}]
    },
}
"""Services of the first route after a change."""


def change_server(entry, change):
    """Return the encoded server entry after a change, or invalid bytes."""
    match change:
        case "an unknown field":
            entry["more"] = 1
        case "state draining" | "state unknown":
            entry["status"]["state"] = change.removeprefix("state ")
        case "no address" | "no info" | "no status":
            del entry[change.removeprefix("no ")]
        case "address without port":
            entry["address"] = "10.0.0.1"
        case "slots as text":
            entry["info"]["slots"] = "12"
        case "slots 0":
            entry["info"]["slots"] = 0
        case "service as number":
            entry["info"]["service"] = 5
        case "broken bytes":
            return b'{"address": \xff'
        case "a list":
            return b"[1, 2]"
    return json.dumps(entry).encode()


def change_config(config, change):
    """Return the encoded configuration after a change, or invalid bytes."""
    route = config["resources"][0]["spec"]
    match change:
        case "an unknown resource":
            config["resources"].append(
                {"typeUrl": "other", "metadata": {}, "spec": {}}
            )
        case "a route to no service":
            route["split"][1]["service"] = "absent"
        case _ if change in TARGETS_BY_CHANGE:
            del route["split"]
            route |= TARGETS_BY_CHANGE[change]
        case "a route without a prefix":
            del route["prefix"]
        case "version as text":
            config["version"] = "7"
        case "kind unsafe" | "kind unknown":
            route["kind"] = change.removeprefix("kind ")
        case "no timeout":
            del route["timeoutMs"]
        case "broken bytes":
            return b"{"
    return json.dumps(config).encode()


@when("the store holds a server entry with {change}")
def step_server(context, change):
    value = change_server(copy.deepcopy(SERVER), change)
    context.entry = platform.EntryDecoder().decode("servers/i-1", value)


@when("the store holds a configuration with {change}")
def step_config(context, change):
    value = change_config(copy.deepcopy(CONFIG), change)
    decoder = platform.EntryDecoder()
    # Routes cached from the previous version must not affect the result.
    decoder.decode("op/config", json.dumps(CONFIG).encode())
    context.entry = decoder.decode("op/config", value)


@when("the store holds the key {key}")
def step_key(context, key):
    context.entry = platform.EntryDecoder().decode(key, b"{}")


@then("the entry is {result}")
def step_result(context, result):
    match context.entry:
        case state.ServerEntry():
            found = "a server"
        case state.TableEntry():
            found = "a table"
        case state.DataCentreOutEntry("belt-a"):
            found = "a data centre out of service"
        case state.InvalidEntry():
            found = "unreadable"
    assert found == result, context.entry


@then("the first route sends requests to {services}")
def step_services(context, services):
    route = context.entry.table.match("ficu95.example", "/lohu930/2f")
    found = ", ".join(
        f"{weighted.service} {weighted.weight:g}"
        for weighted in route.weighted_services
    )
    assert found == services, found


@then("the first route has {field} {value}")
def step_route(context, field, value):
    table = context.entry.table
    route = table.match("ficu95.example", "/lohu930/2f")
    assert str(getattr(route, field)) == value, getattr(route, field)
