"""Handler of `/maintenance`: waves and drains in progress."""

from __future__ import annotations

from result import Ok

from heatherkeel.waves.status import maintenance_status

from .models import Access, Answer, Call, Reply
from .routes import route


@route("GET", "/maintenance", access=Access.READ)
async def async_get_maintenance(call: Call) -> Reply:
    """Return the waves and drains in progress, each with the reason why it has not ended."""
    return Ok(Answer(value=maintenance_status(call.node.state.fleet)))
