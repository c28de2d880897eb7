"""Figures of a node's tasks, for the metrics."""

from savoryhold.mesh.intake_telemetry import IntakeLog, intake_gauges
from savoryhold.mesh.node_context import NodeContext
from savoryhold.wire import PROCESS_BUDGET, HttpServer

__all__ = ['NodeMetrics']


class NodeMetrics:
    """Figures of a node, and the log of what its limits refuse.

    Parameters
    ----------
    context : NodeContext
        Dependencies of the node's tasks.
    server : HttpServer
        Server of the node's callers.
    """

    def __init__(self, context: NodeContext, server: HttpServer) -> None:
        self._context = context
        self._server = server
        self._log = IntakeLog(context.log, PROCESS_BUDGET)

    def gauges(self) -> dict[str, float]:
        """Return the figures at present."""
        return {
            **_context_gauges(self._context),
            **intake_gauges(PROCESS_BUDGET, self._server),
        }

    def log_refusals(self) -> None:
        """Log what the limits on callers have refused since the last call."""
        self._log.write()


def _context_gauges(context: NodeContext) -> dict[str, float]:
    """Return the figures of the tasks that share a context."""
    configs, tables, owner = context.configs, context.tables, context.owner
    places, links = context.places, context.pool
    alive = context.members.live_members(context.clock.now())
    target_pool = owner.target.pool
    opened = 0 if target_pool is None else target_pool.opened
    return {
        'keys_owned': float(tables.owned_key_count()),
        'config_version': float(configs.version),
        'routes_refused': float(configs.refused_count()),
        'zones_evacuated': float(len(places.evacuated)),
        'evacuations_at': float(places.evacuated_at),
        'config_announced': float(configs.follower.announced),
        'config_pulls_failed': float(configs.failed_pulls),
        'target_connections_opened': float(opened),
        'table_writes': float(tables.writer.writes),
        'key_moves': float(tables.writer.moves),
        'runs_stopped': float(owner.runs.stopped_count),
        'queue_waiting': float(len(owner.queue.waiting)),
        'queue_running': float(len(owner.queue.running)),
        'members_heard': float(len(alive)),
        'links_probed': float(links.probed),
        'links_replaced': float(links.replaced),
        'calls_moved': float(links.moved),
        **owner.capacity.gauges(),
    }
