package metrics

import "github.com/catkinline/catkinline/wire"

// MessageCounter counts messages by type; it implements transport.Counter.
type MessageCounter struct{ Registry *Registry }

// CountMessage implements transport.Counter.
func (c MessageCounter) CountMessage(t wire.Type, bytes int, sent bool) {
	if sent {
		c.Registry.Add(MessagesSent, 1, TagType, t.String())
		c.Registry.Add(MessageBytesSent, int64(bytes))
		return
	}
	c.Registry.Add(MessagesReceived, 1, TagType, t.String())
	c.Registry.Add(MessageBytesReceived, int64(bytes))
}
