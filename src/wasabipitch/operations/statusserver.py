"""Answers health checks, and serves the metrics."""

from collections.abc import Callable

from aiohttp import web

from wasabipitch.models import Address

READY_PATH = "/readyz"
HTTP_OK = 200
HTTP_UNAVAILABLE = 503


class StatusServer:
    """Says over HTTP whether the host takes new callers.

    Args:
        is_ready: returns that.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready
        self._runner: web.ServerRunner | None = None

    async def start(self, address: Address) -> None:
        """Listen for checks."""
        server = web.Server(self._answer, access_log=None)
        self._runner = web.ServerRunner(server, shutdown_timeout=0)
        await self._runner.setup()
        site = web.TCPSite(self._runner, address.ip, address.port)
        await site.start()

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        if request.path != READY_PATH:
            return web.Response(status=404)
        return web.Response(status=HTTP_OK if self._is_ready() else HTTP_UNAVAILABLE)
