package metrics

import "github.com/catkinline/catkinline/wire"

// Messages counts messages by type; it implements transport.Counter.
type Messages struct{ Registry *Registry }

// CountMessage implements transport.Counter.
func (c Messages) CountMessage(t wire.Type, bytes int, sent bool) {
	if sent {
		c.Registry.Add(MessagesSent, 1, TagType, t.String())
		c.Registry.Add(MessageBytesSent, int64(bytes))
		return
	}
	c.Registry.Add(MessagesReceived, 1, TagType, t.String())
	c.Registry.Add(MessageBytesRead, int64(bytes))
}
