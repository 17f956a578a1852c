"""Handler of `/maintenance`: waves, drains, and what holds them up."""

from __future__ import annotations

from result import Ok

from heatherkeel.waves.status import maintenance_status

from .models import Access, Answer, Call, Reply
from .routes import route


@route("GET", "/maintenance", access=Access.READ)
async def async_get_maintenance(call: Call) -> Reply:
    """Show waves and drains under way, each with the reason why it has not ended."""
    return Ok(Answer(value=maintenance_status(call.node.state.fleet)))
