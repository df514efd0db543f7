"""Version numbers of the published documents."""

import dataclasses
from dataclasses import dataclass
import enum


class DocumentName(enum.Enum):
    """Names of the published documents."""

    TABLE = "table"
    KEYS = "keys"
    HOSTS = "hosts"
    OUTAGES = "outages"


@dataclass(slots=True, frozen=True)
class Version:
    """The number of a document and the digest of its rows."""

    number: int
    digest: str

    def __str__(self) -> str:
        return f"{self.number}-{self.digest[:12]}"


NO_VERSION = Version(0, "")


@dataclass(slots=True, frozen=True)
class VersionVector:
    """The active versions of all four documents on one node."""

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
        """Return a copy with another version of one document."""
        return dataclasses.replace(self, **{name.value: version})

    def merge(self, other: "VersionVector") -> "VersionVector":
        """Return the higher version of each document."""
        merged = self
        for name in DocumentName:
            if other.get(name).number > self.get(name).number:
                merged = merged.replace(name, other.get(name))
        return merged

    def covers(self, other: "VersionVector") -> bool:
        """Return whether every document is at least as new as the other's."""
        return all(
            self.get(name).number >= other.get(name).number
            for name in DocumentName
        )
