"""Admission without limits, for a VM whose customers have none."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gentianfold.daemon.request_context import RequestContext
    from gentianfold.errors import Failure


class AdmitAll:
    """Admits every request."""

    async def admit(self, context: RequestContext) -> Failure | None:
        """Admit the request."""
        return None
