"""Loads a new configuration in slices."""

from comfreyusher.flow import Subscribe
from comfreyusher.routing import AccountTableBuilder, set_published_routes

# A slice takes some 2 ms of a core; the pause after it lets other tasks run.
SLICE_ACCOUNTS = 2000
SLICE_PAUSE_S = 0.002
TICK_NAME = "configuration"


class ConfigurationLoader:
    """The configuration that comes into force next, and its tables as far as built.

    Until the tables are complete, the version before stays in force as a whole: routes
    of a new version must not be used without its client accounts. A newer version
    continues from the tables as they are, so that frequent versions do not delay each
    other. The owning task calls ``advance`` at its ticks named ``configuration``.
    """

    def __init__(self, channel, send_message, slice_accounts=SLICE_ACCOUNTS):
        self.channel = channel
        self.slice_accounts = slice_accounts
        self.send_message = send_message
        self.builder = AccountTableBuilder()
        self.configuration = None
        self.loading = False

    def start(self, configuration):
        """Begin to load a newer configuration."""
        self.configuration = configuration
        self.loading = True
        self.builder.start(configuration.client_accounts)

    def advance(self, table):
        """Load a slice; return the routing table if that was the last one, or ``None``.

        If it was not, the next one is due at the next tick.
        """
        if not self.loading:
            return None
        if not self.builder.advance(self.slice_accounts):
            pause = Subscribe(self.channel, TICK_NAME, SLICE_PAUSE_S, repeat=False)
            self.send_message("timers", pause)
            return None
        self.loading = False
        return set_published_routes(table, self.configuration, self.builder.finish())
