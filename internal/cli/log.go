package cli

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// newLogger returns a logger that writes messages of at least the given level to standard error, in a console format
// and without sampling.
func newLogger(level string) (*zap.Logger, error) {
	atomicLevel, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, err
	}
	config := zap.NewProductionConfig()
	config.Level = atomicLevel
	config.Encoding = "console"
	config.DisableCaller = true
	config.DisableStacktrace = true
	config.Sampling = nil
	config.OutputPaths = []string{"stderr"}
	config.ErrorOutputPaths = []string{"stderr"}
	config.EncoderConfig = zap.NewDevelopmentEncoderConfig()
	config.EncoderConfig.EncodeTime = zapcore.TimeEncoderOfLayout("15:04:05.000")
	return config.Build()
}
