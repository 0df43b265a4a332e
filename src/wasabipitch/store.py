"""Client of the platform's key-value store and of its list of hosts."""

from dataclasses import dataclass
from typing import Any, Protocol

import aiohttp
import msgspec

from wasabipitch.decoding import decode_json
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
    """The platform's list of hosts, which is updated with a delay."""

    hosts: tuple[Host, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class WriteAnswer:
    """The body of the platform's answer to a write that took effect."""

    revision: int


class Store(Protocol):
    """The calls of the platform that the system uses.

    Every call raises ``StoreUnavailable`` if no valid answer came or the rate of calls
    is too high. Its verdict tells whether a write may have taken effect. A call raises
    ``StoreError`` if it was refused and a repetition would not help.
    """

    async def get(
        self, key: str, after: int | None = None, wait_s: float = 0.0
    ) -> Record | None:
        """Return a key's record.

        Args:
            key: The key.
            after: If given, only a record with a greater revision is returned.
            wait_s: The time to wait for such a record.

        Returns:
            The record, or None if the key is absent or has no greater revision.
        """

    async def put(self, key: str, value: str, expect: int | None) -> int:
        """Write a value by compare-and-swap and return its revision.

        Args:
            key: The key.
            value: The new value, of at most ``MAX_VALUE_BYTES``.
            expect: The revision that the key must have; ``ABSENT`` if the key must not
                exist; None to write unconditionally.

        Raises:
            StoreConflict: If the key has another revision; the error contains its
                revision and value.
        """

    async def delete(self, key: str, expect: int | None = None) -> None:
        """Delete a key if it has the expected revision.

        Raises:
            StoreConflict: As in ``put``.
        """

    async def hosts(
        self, after: int | None = None, wait_s: float = 0.0
    ) -> HostList | None:
        """Return the list of hosts, or None if it is no newer than ``after``."""

    async def close(self) -> None:
        """Close the connections to the platform."""


@dataclass(frozen=True, slots=True)
class Answer:
    """An HTTP answer, with an empty body if it is not a JSON object."""

    status: int
    body: dict[str, Any]


class PlatformStore:
    """Calls the platform's store over HTTP with JSON.

    Args:
        address: The address of the store.
        timeout_s: The time limit of a call, in addition to the time of a watch.
        metrics: The metrics, which count ``store.reads``, ``store.writes`` and
            ``store.errors``.
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
            # A read changes nothing, even if it reached the store.
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
        raise StoreError(f"platform store: {call}: refused with status {answer.status}")

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
    """Keep aiohttp from repeating a write whose connection broke.

    A compare-and-swap that is sent twice conflicts with itself, and the conflict would
    hide that it took effect. aiohttp repeats a call only after certain errors, so this
    middleware raises them as another error.
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
    return decode_json(data)
