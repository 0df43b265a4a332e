"""The processes' settings, read from YAML files and validated as a whole."""

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
    """Settings of the log.

    Args:
        level: The lowest level that is logged.
    """

    level: Annotated[str, Field(pattern="^(debug|info|warning|error)$")] = "info"


@dataclass(frozen=True, config=_STRICT)
class Statsd:
    """Settings of the metrics.

    Args:
        address: The statsd daemon's ``ip:port``; None disables sending.
        prefix: The prefix of every metric's name.
    """

    address: AddressText | None = None
    prefix: str = "wasabipitch"


@dataclass(frozen=True, config=_STRICT)
class Caller:
    """A MySQL user that may connect to an entry.

    Args:
        name: The user's name.
        password_sha1: The hex digits of SHA1(SHA1(password)), as MySQL stores them for
            ``mysql_native_password``; None if the user has no password.
        max_connections: The greatest number of connections that it may have to one
            entry.
    """

    name: str
    password_sha1: Annotated[str, Field(pattern="^[0-9a-fA-F]{40}$")] | None = None
    max_connections: Annotated[int, Field(ge=1)] = 1000


@dataclass(frozen=True, config=_STRICT)
class Tls:
    """Settings of TLS on callers' connections.

    Args:
        certificate: The path of the certificate file.
        key: The path of the key file.
        required: Whether callers without TLS are refused.
    """

    certificate: str
    key: str
    required: bool = False


@dataclass(frozen=True, config=_STRICT, kw_only=True)
class ProcessSettings:
    """Settings that all processes have.

    Args:
        host: The process's name, unique in the system.
        data_centre: The data centre in which it runs.
        link: The ``ip:port`` at which it accepts links from other processes.
        platform: The ``ip:port`` of the platform's key-value service.
        configuration_key: The key in that service that holds the configuration's head.
        logs: Settings of the log.
        statsd: Settings of the metrics.
        stop_timeout_s: How long a graceful stop waits for work in progress.
        fault_injection: Whether orders for tests, such as ``SetCut``, are obeyed.
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
        """The address at which the process accepts links."""
        return Address.parse(self.link)


@dataclass(frozen=True, config=_STRICT, kw_only=True)
class EntrySettings(ProcessSettings):
    """Settings of an entry.

    Args:
        listen: The ``ip:port`` to which callers connect.
        callers: The users that may connect; if it is empty, none may.
        max_connections: The greatest number of connections of all callers together.
        max_statement_bytes: The greatest length of a statement; longer ones are
            refused.
        tls: Settings of TLS on callers' connections; None disables TLS.
    """

    listen: AddressText = ANY_PORT
    callers: tuple[Caller, ...] = ()
    max_connections: Annotated[int, Field(ge=1)] = 10_000
    max_statement_bytes: Annotated[int, Field(ge=1024)] = 1024 * 1024
    tls: Tls | None = None


@dataclass(frozen=True, config=_STRICT, kw_only=True)
class PoolSettings(ProcessSettings):
    """Settings of a pool.

    Args:
        target_user: The MySQL user for connections to targets; None for the host's
            name.
        target_password: The password of that user.
    """

    target_user: str | None = None
    target_password: str = ""


SettingsType = TypeVar("SettingsType", bound=ProcessSettings)


def load(path: str, kind: type[SettingsType]) -> SettingsType:
    """Return the settings in a YAML file.

    Args:
        path: The path of the file.
        kind: ``EntrySettings`` or ``PoolSettings``.

    Raises:
        SettingsError: The file can't be read or is invalid. The message names the file
            and lists every error with its path in the document.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
        document = yaml.safe_load(text)
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"can't read {path}: {exc}") from exc
    except (yaml.YAMLError, RecursionError) as exc:
        raise SettingsError(f"{path} is not valid YAML: {exc}") from exc
    try:
        return TypeAdapter(kind).validate_python(document)
    except ValidationError as exc:
        raise SettingsError(f"{path}:\n{describe_errors(exc)}") from exc
