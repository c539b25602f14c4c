package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/membership"
	"github.com/redwingthread/redwingthread/settings"
	"github.com/redwingthread/redwingthread/telemetry"
)

// Main runs a daemon until SIGTERM or SIGINT and returns the exit code of the process. Both signals start a graceful
// shutdown.
func Main(run func(context.Context) error) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := run(ctx)
	if err == nil {
		return 0
	}
	typed := errkind.As(err)
	fmt.Fprintln(os.Stderr, typed.Error())
	return typed.Kind.ExitCode()
}

// StartGateway runs the gateway daemon under a new incarnation until ctx ends. It writes log lines to w. Its errors are
// those of telemetry.NewLogger and RunGateway.
func StartGateway(ctx context.Context, s settings.Gateway, w io.Writer) error {
	self := newSelf(s.Common, membership.RoleGateway, s.Listen.Inner)
	logger, err := telemetry.NewLogger(w, s.Log.Level, self)
	if err != nil {
		return err
	}
	defer telemetry.LogViolations(logger)()
	return RunGateway(ctx, s, logger, self)
}

// StartScheduler runs the scheduler daemon under a new incarnation until ctx ends. It writes log lines to w. Its errors
// are those of telemetry.NewLogger and RunScheduler.
func StartScheduler(ctx context.Context, s settings.Scheduler, w io.Writer) error {
	self := newSelf(s.Common, membership.RoleScheduler, s.Listen.Inner)
	logger, err := telemetry.NewLogger(w, s.Log.Level, self)
	if err != nil {
		return err
	}
	defer telemetry.LogViolations(logger)()
	return RunScheduler(ctx, s, logger, self)
}

// newSelf returns the member that describes this process, with a new incarnation.
func newSelf(common settings.Common, role, address string) inner.Member {
	return NewIncarnation(inner.Member{FailureDomain: common.FailureDomain, VM: common.VM, Role: role, Address: address})
}
