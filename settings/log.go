package settings

import (
	"io"
	stdlog "log"

	"github.com/zeebo/errs"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// ErrLog is the error class of invalid log settings.
var ErrLog = errs.Class("log settings")

// NewLogger returns a logger that writes to w. A Log that LoadEntry or LoadAgent returned
// without an error is valid; NewLogger does not fail for it.
func NewLogger(log Log, w io.Writer) (*zap.Logger, error) {
	log.SetDefaults()
	level, err := zapcore.ParseLevel(log.Level)
	if err != nil {
		return nil, ErrLog.Wrap(err)
	}
	format := zap.NewProductionEncoderConfig()
	format.EncodeTime = zapcore.ISO8601TimeEncoder
	var encoder zapcore.Encoder
	switch log.Format {
	case "json":
		encoder = zapcore.NewJSONEncoder(format)
	case "console":
		encoder = zapcore.NewConsoleEncoder(format)
	default:
		return nil, ErrLog.New("unknown format %q", log.Format)
	}
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), level)
	return zap.New(errorTextCore{core}), nil
}

// errorTextCore is a core that logs errors as their message. Errors from package errs
// implement fmt.Formatter and print a stack trace with %+v, which zap would add as a second
// field of many lines.
type errorTextCore struct{ zapcore.Core }

// With implements zapcore.Core.
func (c errorTextCore) With(fields []zapcore.Field) zapcore.Core {
	return errorTextCore{c.Core.With(errorsToText(fields))}
}

// Check implements zapcore.Core.
func (c errorTextCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c errorTextCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, errorsToText(fields))
}

// errorsToText returns a copy of fields in which errors are replaced by their messages.
func errorsToText(fields []zapcore.Field) []zapcore.Field {
	out := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zap.String(f.Key, err.Error())
		}
		out[i] = f
	}
	return out
}

// CaptureStandardLog redirects the standard logger to log, at warning level, until restore is
// called. Libraries write to the standard logger, such as quic-go's warning about a small
// receive buffer.
func CaptureStandardLog(log *zap.Logger) (restore func()) {
	restore, err := zap.RedirectStdLogAt(log, zapcore.WarnLevel)
	if err != nil { // unreachable: zap only rejects unknown levels
		return func() {}
	}
	return restore
}

// ServerLogger returns the logger for http.Server.ErrorLog. It logs at debug level, since the
// server reports errors on single connections, and clients must not be able to fill the log.
func ServerLogger(log *zap.Logger) *stdlog.Logger {
	server, err := zap.NewStdLogAt(log, zapcore.DebugLevel)
	if err != nil { // unreachable: zap only rejects unknown levels
		return zap.NewStdLog(zap.NewNop())
	}
	return server
}
