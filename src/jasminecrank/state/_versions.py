"""Versions of published documents."""

import dataclasses
from dataclasses import dataclass
import enum


class DocumentName(enum.Enum):
    """The documents that the platform publishes."""

    TABLE = "table"
    KEYS = "keys"
    HOSTS = "hosts"
    OUTAGES = "outages"


@dataclass(slots=True, frozen=True)
class Version:
    """A document's number and the digest of its rows."""

    number: int
    digest: str

    def __str__(self) -> str:
        return f"{self.number}-{self.digest[:12]}"


NO_VERSION = Version(0, "")


@dataclass(slots=True, frozen=True)
class VersionVector:
    """The versions of all four documents that one node has in force."""

    table: Version = NO_VERSION
    keys: Version = NO_VERSION
    hosts: Version = NO_VERSION
    outages: Version = NO_VERSION

    def get(self, name: DocumentName) -> Version:
        """Return the version of one document."""
        match name:
            case DocumentName.TABLE:
                return self.table
            case DocumentName.KEYS:
                return self.keys
            case DocumentName.HOSTS:
                return self.hosts
            case DocumentName.OUTAGES:
                return self.outages

    def replace(self, name: DocumentName, version: Version) -> "VersionVector":
        """Return the vector with the version of one document changed."""
        return dataclasses.replace(self, **{name.value: version})

    def merge(self, other: "VersionVector") -> "VersionVector":
        """Return the version with the higher number of each document."""
        merged = self
        for name in DocumentName:
            if other.get(name).number > self.get(name).number:
                merged = merged.replace(name, other.get(name))
        return merged

    def covers(self, other: "VersionVector") -> bool:
        """Return whether no document of the other has a higher number."""
        return all(
            self.get(name).number >= other.get(name).number
            for name in DocumentName
        )
