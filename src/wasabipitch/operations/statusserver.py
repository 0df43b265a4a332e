"""HTTP servers for the readiness check and the metrics."""

from collections.abc import Callable

from wasabipitch.http.client import Response
from wasabipitch.http.server import ClosedCallback, HttpServer, ignore_closed

METRICS_PATH = "/metrics"
READY_PATH = "/readyz"
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503


def make_metrics_server(
    render: Callable[[], bytes], on_closed: ClosedCallback = ignore_closed
) -> HttpServer:
    """Return a server that answers ``METRICS_PATH`` with the metrics.

    Args:
        render: Returns the metrics in the Prometheus text format.
        on_closed: See ``HttpServer``.
    """

    def answer(path: str) -> Response:
        if path.partition("?")[0] != METRICS_PATH:
            return Response(HTTP_NOT_FOUND, b"")
        return Response(HTTP_OK, render())

    return HttpServer(answer, on_closed)


def make_status_server(
    is_ready: Callable[[], bool], on_closed: ClosedCallback = ignore_closed
) -> HttpServer:
    """Return a server that answers ``READY_PATH`` with status 200 or 503.

    Args:
        is_ready: Returns whether the host accepts new callers.
        on_closed: See ``HttpServer``.
    """

    def answer(path: str) -> Response:
        if path.partition("?")[0] != READY_PATH:
            return Response(HTTP_NOT_FOUND, b"")
        status = HTTP_OK if is_ready() else HTTP_UNAVAILABLE
        return Response(status, b"")

    return HttpServer(answer, on_closed)
