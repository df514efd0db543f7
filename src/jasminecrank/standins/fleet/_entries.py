"""Store entries as operators and backend servers write them."""

from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import time
import typing

ROUTES = (
    ("lots", "/lots/", "safe", "ledger", False),
    ("book", "/book/", "unsafe", "ledger", False),
    ("open", "/open/", "safe", "ledger", True),
)


@dataclass(slots=True, frozen=True)
class TeamRow:
    """API keys and rate limit of a team."""

    keys: Sequence[str]
    rate_per_s: int


@dataclass(slots=True)
class Incarnation:
    """What the entries of a backend server tell of its incarnation."""

    born_ms: int = field(default_factory=lambda: int(time.time() * 1000))
    seq: int = 0

    def next_seq(self) -> int:
        """Return the number of the next entry."""
        self.seq += 1
        return self.seq


def table_entry(
    version: int,
    timeout_ms: int,
    team_by_name: Mapping[str, TeamRow],
    idle_routes: int = 0,
    max_body_bytes: int | None = None,
) -> dict[str, typing.Any]:
    """Return a table entry with the stand-ins' routes and service.

    No caller uses the idle routes; they make the entry large. Without
    `max_body_bytes`, the node's own limits hold.
    """
    routes = [
        *ROUTES,
        *(
            (f"idle-{number}", f"/idle-{number}/", "safe", "ledger", False)
            for number in range(idle_routes)
        ),
    ]
    resources: list[dict[str, typing.Any]] = [
        {
            "typeUrl": "routes",
            "metadata": {"name": name},
            "spec": {
                "host": "a.example",
                "prefix": prefix,
                "kind": kind,
                "timeoutMs": timeout_ms,
                "targetLatencyMs": 300,
                "priority": 1,
                "service": service,
                "maxAttempts": 2,
                "public": is_public,
            },
        }
        for name, prefix, kind, service, is_public in routes
    ]
    resources.append(
        {
            "typeUrl": "services",
            "metadata": {"name": "ledger"},
            "spec": {
                "healthPath": "/healthz",
                "maxConns": 110,
                "coldStartS": 3.0,
                "coldPerS": 10.0,
            },
        }
    )
    resources.extend(
        {
            "typeUrl": "tenants",
            "metadata": {"name": name},
            "spec": {
                "apiKeys": list(team.keys),
                "ratePerS": team.rate_per_s,
                "burst": team.rate_per_s,
            },
        }
        for name, team in team_by_name.items()
    )
    if max_body_bytes is not None:
        resources.append(
            {
                "typeUrl": "limits",
                "metadata": {},
                "spec": {
                    "maxHeaderBytes": 16_384,
                    "maxBodyBytes": max_body_bytes,
                    "headerTimeoutMs": 3_000,
                    "idleTimeoutMs": 15_000,
                },
            }
        )
    return {"version": version, "resources": resources}


def server_entry(
    address: str,
    data_centre: str,
    slots: int,
    server_state: str,
    cold_ms: int,
    incarnation: Incarnation | None = None,
) -> dict[str, typing.Any]:
    """Return the next entry with which a backend server registers itself.

    Without an incarnation, it is the first entry of a new one.
    """
    incarnation = incarnation or Incarnation()
    return {
        "address": address,
        "born": incarnation.born_ms,
        "info": {
            "service": "ledger",
            "version": "v1",
            "zone": data_centre,
            "slots": slots,
        },
        "status": {
            "state": server_state,
            "seq": incarnation.next_seq(),
            "coldLeftMs": cold_ms,
        },
    }
