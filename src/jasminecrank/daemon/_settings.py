"""Validated settings of a node."""

from dataclasses import dataclass
import ipaddress
import re

from jasminecrank import const
from jasminecrank import exceptions
from jasminecrank import state

_PORT_MAX = 65_535
_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
_THREADS_MIN = 4


@dataclass(slots=True, frozen=True)
class NodeSettings:
    """Settings of a node from command line flags and environment."""

    host: str
    data_centre: str
    address: str
    call_port: int
    peer_port: int
    admin_port: int
    server_address: str
    server_port: int
    source_url: str
    seed_peers: tuple[str, ...]
    threads: int
    quota_policy: state.QuotaPolicy = state.QuotaPolicy.LOANS
    fleet_hosts: int = const.FLEET_HOSTS_MAX

    def check(self) -> None:
        """Raise SettingError for the first invalid setting."""
        _check_name("host", self.host)
        _check_name("data-centre", self.data_centre)
        _check_address("address", self.address)
        _check_address("server-address", self.server_address)
        _check_port("call-port", self.call_port, 0)
        _check_port("peer-port", self.peer_port, 0)
        _check_port("admin-port", self.admin_port, 0)
        _check_port("server-port", self.server_port, 1)
        if not self.source_url.startswith("http://"):
            raise _setting_error(
                "source-url", self.source_url, "a URL that starts with http://"
            )
        for peer in self.seed_peers:
            _check_endpoint("seed-peer", peer)
        if self.fleet_hosts < 1:
            raise _setting_error(
                "fleet-hosts", self.fleet_hosts, "a number of at least 1"
            )
        if not _THREADS_MIN <= self.threads <= const.MAX_THREADS:
            raise _setting_error(
                "threads",
                self.threads,
                f"a number from {_THREADS_MIN} to {const.MAX_THREADS}",
            )


def _check_name(setting: str, value: str) -> None:
    if not _NAME_PATTERN.fullmatch(value):
        raise _setting_error(
            setting, value, "a name of lower-case letters, digits, . and -"
        )


def _check_address(setting: str, value: str) -> None:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise _setting_error(setting, value, "an IP address") from None


def _check_port(setting: str, value: int, minimum: int) -> None:
    if not minimum <= value <= _PORT_MAX:
        raise _setting_error(
            setting, value, f"a port from {minimum} to {_PORT_MAX}"
        )


def _check_endpoint(setting: str, value: str) -> None:
    address, _, port = value.rpartition(":")
    if not port.isascii() or not port.isdigit():
        raise _setting_error(setting, value, "ADDRESS:PORT")
    _check_address(setting, address)
    _check_port(setting, int(port), 1)


def _setting_error(
    setting: str, value: object, expected: str
) -> exceptions.SettingError:
    return exceptions.SettingError(f"--{setting}: {value!r} is not {expected}")
