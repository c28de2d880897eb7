"""HTTP interfaces for callers, targets and operators."""

from savoryhold.gateway.admin import AdminBackend, admin_app
from savoryhold.gateway.callers import CallerGateway

__all__ = ['AdminBackend', 'CallerGateway', 'admin_app']
