"""The platform's key-value service and its list of hosts."""

from dataclasses import dataclass
from typing import Any, Protocol

import aiohttp
import msgspec

from wasabipitch.exceptions import StoreConflict, StoreError, StoreUnavailable
from wasabipitch.metrics import Metrics, StatsdMetrics
from wasabipitch.models import Address, Host
from wasabipitch.verdict import Verdict

DEFAULT_TIMEOUT_S = 2.0
MAX_VALUE_BYTES = 900_000
ABSENT = 0

HTTP_OK = 200
HTTP_NOT_MODIFIED = 304
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_TOO_MANY_REQUESTS = 429
HTTP_SERVER_ERROR = 500
_EXPECTED_STATUSES = (
    HTTP_OK,
    HTTP_NOT_MODIFIED,
    HTTP_NOT_FOUND,
    HTTP_CONFLICT,
)


@dataclass(frozen=True, slots=True)
class Record:
    """A key's value, and the revision at which it was written."""

    key: str
    value: str
    revision: int


@dataclass(frozen=True, slots=True)
class HostList:
    """The platform's list of hosts, which lags behind the truth."""

    hosts: tuple[Host, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class WriteAnswer:
    """The platform's answer to a write that took effect."""

    revision: int


class Store(Protocol):
    """What the system needs of the platform.

    Every call raises ``StoreUnavailable`` if no answer came, or if the rate of
    calls is too high (its verdict tells whether a write may have taken effect),
    and ``StoreError`` if the call was refused for good.
    """

    async def get(
        self, key: str, after: int | None = None, wait_s: float = 0.0
    ) -> Record | None:
        """Return a key's record.

        Args:
            key: the key.
            after: return only a record of a greater revision than this.
            wait_s: how long to wait for one.

        Returns:
            The record, or None if the key is absent or has no greater revision.
        """

    async def put(self, key: str, value: str, expect: int | None) -> int:
        """Write a value by compare-and-swap and return its revision.

        Args:
            key: the key.
            value: the new value, at most ``MAX_VALUE_BYTES``.
            expect: the revision that must be current; ``ABSENT`` if the key
                must not exist; None writes unconditionally.

        Raises:
            StoreConflict: with the current revision and value.
        """

    async def delete(self, key: str, expect: int | None = None) -> None:
        """Delete a key, if it is at the expected revision; raises as ``put``."""

    async def hosts(
        self, after: int | None = None, wait_s: float = 0.0
    ) -> HostList | None:
        """Return the list of hosts, or None if it is no newer than ``after``."""

    async def close(self) -> None:
        """Close the connections to the platform."""


@dataclass(frozen=True, slots=True)
class Answer:
    """An HTTP answer: its status and its JSON body, if it has one."""

    status: int
    body: dict[str, Any]


class PlatformStore:
    """The platform's service over HTTP and JSON.

    Args:
        address: where the service listens.
        timeout_s: how long to wait for an answer, beyond the time of a watch.
        metrics: counts the calls as ``store.reads`` and ``store.writes``.
    """

    def __init__(
        self,
        address: Address,
        *,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        metrics: Metrics | None = None,
    ) -> None:
        self.address = address
        self.timeout_s = timeout_s
        self._metrics = metrics or StatsdMetrics()
        self._session: aiohttp.ClientSession | None = None

    async def get(
        self, key: str, after: int | None = None, wait_s: float = 0.0
    ) -> Record | None:
        """Return a key's record; see ``Store.get``."""
        answer = await self._read(f"/kv/{key}", after, wait_s)
        if answer.status in (HTTP_NOT_FOUND, HTTP_NOT_MODIFIED):
            return None
        record = self._convert(answer.body, Record)
        if after is not None and record.revision <= after:
            return None
        return record

    async def put(self, key: str, value: str, expect: int | None) -> int:
        """Write a value by compare-and-swap; see ``Store.put``."""
        size = len(value.encode())
        if size > MAX_VALUE_BYTES:
            raise StoreError(f"value of {key} is {size} bytes, over {MAX_VALUE_BYTES}")
        body = {"value": value, "expect": expect, "lease": None}
        answer = await self._write("PUT", f"/kv/{key}", body=body)
        self._raise_conflict(key, expect, answer)
        return self._convert(answer.body, WriteAnswer).revision

    async def delete(self, key: str, expect: int | None = None) -> None:
        """Delete a key; see ``Store.delete``."""
        params = {} if expect is None else {"expect": str(expect)}
        answer = await self._write("DELETE", f"/kv/{key}", params=params)
        self._raise_conflict(key, expect, answer)

    async def hosts(
        self, after: int | None = None, wait_s: float = 0.0
    ) -> HostList | None:
        """Return the list of hosts; see ``Store.hosts``."""
        answer = await self._read("/hosts", after, wait_s)
        if answer.status == HTTP_NOT_MODIFIED:
            return None
        return self._convert(answer.body, HostList)

    async def close(self) -> None:
        """Close the connections to the platform."""
        if self._session is not None:
            await self._session.close()
        self._session = None

    async def _read(self, path: str, after: int | None, wait_s: float) -> Answer:
        self._metrics.count("store.reads")
        params = {}
        if after is not None:
            params["after"] = str(after)
        if wait_s > 0:
            params["wait"] = f"{wait_s:g}"
        return await self._request("GET", path, wait_s=wait_s, params=params)

    async def _write(
        self, method: str, path: str, *, body: Any = None, params: Any = None
    ) -> Answer:
        self._metrics.count("store.writes")
        return await self._request(method, path, json=body, params=params)

    async def _request(
        self, method: str, path: str, *, wait_s: float = 0.0, **options: Any
    ) -> Answer:
        if self._session is None:
            self._session = aiohttp.ClientSession(middlewares=(_send_once,))
        timeout = aiohttp.ClientTimeout(total=self.timeout_s + wait_s)
        call = f"{method} {path} at {self.address}"
        try:
            async with self._session.request(
                method, f"http://{self.address}{path}", timeout=timeout, **options
            ) as response:
                answer = Answer(response.status, _decode(await response.read()))
        except aiohttp.ClientConnectorError as exc:
            self._metrics.count("store.errors")
            message = f"platform store: {call}: {exc.os_error}"
            raise StoreUnavailable(message, verdict=Verdict.NOT_RUN) from exc
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            msgspec.MsgspecError,
        ) as exc:
            self._metrics.count("store.errors")
            reason = str(exc) or "timeout"
            # A read changes nothing, whether it arrived or not.
            verdict = Verdict.NOT_RUN if method == "GET" else Verdict.MAY_HAVE_RUN
            message = f"platform store: {call}: {reason}"
            raise StoreUnavailable(message, verdict=verdict) from exc
        self._check_status(call, answer)
        return answer

    def _check_status(self, call: str, answer: Answer) -> None:
        if answer.status in _EXPECTED_STATUSES:
            return
        self._metrics.count("store.errors")
        if answer.status >= HTTP_SERVER_ERROR:
            raise StoreUnavailable(f"platform store: {call}: status {answer.status}")
        if answer.status == HTTP_TOO_MANY_REQUESTS:
            message = f"platform store: {call}: too many requests; try again"
            raise StoreUnavailable(message, verdict=Verdict.NOT_RUN)
        raise StoreError(f"platform store: {call}: refused, status {answer.status}")

    def _raise_conflict(self, key: str, expect: int | None, answer: Answer) -> None:
        if answer.status != HTTP_CONFLICT:
            return
        revision = int(answer.body.get("revision") or ABSENT)
        raise StoreConflict(
            f"key {key} is at revision {revision}, not {expect}",
            revision=revision,
            value=answer.body.get("value") or "",
        )

    def _convert(self, body: dict[str, Any], kind: type) -> Any:
        try:
            return msgspec.convert(body, kind)
        except msgspec.ValidationError as exc:
            message = f"platform store at {self.address}: malformed answer: {exc}"
            raise StoreUnavailable(message) from exc


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep aiohttp from sending a write again when its connection broke.

    A compare-and-swap sent twice conflicts with itself, and the conflict would
    hide that it took effect. Only certain errors are sent again by aiohttp, so
    they are raised as another one.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        if request.method == "GET":
            raise
        raise aiohttp.ClientError(str(exc)) from exc


def _decode(data: bytes) -> dict[str, Any]:
    if not data.lstrip().startswith(b"{"):
        return {}
    return msgspec.json.decode(data)
