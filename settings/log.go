package settings

import (
	"io"

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
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), level)), nil
}
