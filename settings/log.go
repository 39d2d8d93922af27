package settings

import (
	"io"
	stdlog "log"

	"github.com/zeebo/errs"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// ErrLog is the class of errors in the settings of the log.
var ErrLog = errs.Class("log settings")

// NewLogger returns a logger that writes to w. It returns no error for a Log
// that LoadEntry or LoadAgent returned, since they check it.
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
	return zap.New(plainErrors{core}), nil
}

// plainErrors is a core that logs the messages of errors only. The errors of
// package errs format themselves with a stack trace, which zap would add as a
// second field of many lines.
type plainErrors struct{ zapcore.Core }

// With implements zapcore.Core.
func (c plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{c.Core.With(withPlainErrors(fields))}
}

// Check implements zapcore.Core.
func (c plainErrors) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c plainErrors) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, withPlainErrors(fields))
}

func withPlainErrors(fields []zapcore.Field) []zapcore.Field {
	out := make([]zapcore.Field, len(fields))
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zap.String(f.Key, err.Error())
		}
		out[i] = f
	}
	return out
}

// CaptureStandardLog sends what libraries write to the standard logger, such as
// quic-go's warning of a small receive buffer, to this log as warnings, until the
// function that it returns is called.
func CaptureStandardLog(log *zap.Logger) (restore func()) {
	restore, err := zap.RedirectStdLogAt(log, zapcore.WarnLevel)
	if err != nil { // only for a level that zap does not know
		return func() {}
	}
	return restore
}

// ServerLogger returns the logger of an HTTP server. What a server reports is the
// fault of one connection, which must not fill the log, so its level is debug.
func ServerLogger(log *zap.Logger) *stdlog.Logger {
	server, err := zap.NewStdLogAt(log, zapcore.DebugLevel)
	if err != nil { // only for a level that zap does not know
		return zap.NewStdLog(zap.NewNop())
	}
	return server
}
