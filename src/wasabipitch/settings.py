"""Settings of the processes: YAML files, checked whole."""

from pathlib import Path
from typing import Annotated, TypeVar

import yaml
from pydantic import ConfigDict, Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from wasabipitch.deployment import describe_errors
from wasabipitch.exceptions import SettingsError
from wasabipitch.models import Address

_STRICT = ConfigDict(extra="forbid")
AddressText = Annotated[str, Field(pattern=r"^[0-9a-fA-F.:\[\]]+:\d+$")]
ANY_PORT = "127.0.0.1:0"


@dataclass(frozen=True, config=_STRICT)
class Logs:
    """Where log lines go.

    Args:
        level: the lowest level that is logged.
    """

    level: Annotated[str, Field(pattern="^(debug|info|warning|error)$")] = "info"


@dataclass(frozen=True, config=_STRICT)
class Statsd:
    """Where metrics go.

    Args:
        address: ``ip:port`` of the statsd daemon; None sends nothing.
        prefix: put before every metric's name.
    """

    address: AddressText | None = None
    prefix: str = "wasabipitch"


@dataclass(frozen=True, config=_STRICT)
class Caller:
    """A MySQL user that may connect to an entry.

    Args:
        password_sha1: the hex of SHA1(SHA1(password)), as MySQL stores it for
            ``mysql_native_password``; None: no password.
        max_connections: how many connections it may hold at one entry.
    """

    name: str
    password_sha1: Annotated[str, Field(pattern="^[0-9a-fA-F]{40}$")] | None = None
    max_connections: Annotated[int, Field(ge=1)] = 1000


@dataclass(frozen=True, config=_STRICT)
class Tls:
    """The certificate and key files for TLS towards callers."""

    certificate: str
    key: str
    required: bool = False


@dataclass(frozen=True, config=_STRICT, kw_only=True)
class ProcessSettings:
    """What every process is told.

    Args:
        host: this process's name, unique in the system.
        data_centre: where it runs.
        link: ``ip:port`` where it accepts links.
        platform: ``ip:port`` of the platform's key-value service.
        configuration_key: the key that holds the configuration's head.
        fault_injection: whether test orders such as ``SetCut`` are honoured.
    """

    host: Annotated[str, Field(pattern=r"^[a-z][a-z0-9_-]{0,62}$")]
    data_centre: str
    link: AddressText = ANY_PORT
    platform: AddressText
    configuration_key: str = "wasabipitch/configuration"
    logs: Logs = Field(default_factory=Logs)
    statsd: Statsd = Field(default_factory=Statsd)
    stop_timeout_s: Annotated[float, Field(gt=0)] = 20.0
    fault_injection: bool = False

    @property
    def link_address(self) -> Address:
        """The parsed link address."""
        return Address.parse(self.link)


@dataclass(frozen=True, config=_STRICT, kw_only=True)
class EntrySettings(ProcessSettings):
    """What an entry is told besides.

    Args:
        listen: ``ip:port`` where callers connect.
        callers: the users that may connect; empty: none may.
        max_connections: of all callers together.
        max_statement_bytes: a longer statement is refused.
    """

    listen: AddressText = ANY_PORT
    callers: tuple[Caller, ...] = ()
    max_connections: Annotated[int, Field(ge=1)] = 10_000
    max_statement_bytes: Annotated[int, Field(ge=1024)] = 1024 * 1024
    tls: Tls | None = None


@dataclass(frozen=True, config=_STRICT, kw_only=True)
class PoolSettings(ProcessSettings):
    """What a pool is told besides.

    Args:
        target_user: the MySQL user for targets; None: the host's name.
        target_password: its password.
    """

    target_user: str | None = None
    target_password: str = ""


SettingsType = TypeVar("SettingsType", bound=ProcessSettings)


def load(path: str, kind: type[SettingsType]) -> SettingsType:
    """Return the settings in a YAML file.

    Args:
        path: the file.
        kind: ``EntrySettings`` or ``PoolSettings``.

    Raises:
        SettingsError: naming the file, with every error and its path.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
        document = yaml.safe_load(text)
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"can't read {path}: {exc}") from exc
    except yaml.YAMLError as exc:
        raise SettingsError(f"{path} is not valid YAML: {exc}") from exc
    try:
        return TypeAdapter(kind).validate_python(document)
    except ValidationError as exc:
        raise SettingsError(f"{path}:\n{describe_errors(exc)}") from exc
