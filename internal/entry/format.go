package entry

import (
	"encoding/json"
	"strconv"
	"unicode/utf8"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

// completionFormat encodes answers in the OpenAI format of completions. The constant prefix of streamed events is encoded
// once per request.
type completionFormat struct {
	chat    bool
	id      string
	model   string
	created int64
	stream  bool
	usage   bool

	prefix []byte
}

func (f *completionFormat) object() string {
	switch {
	case f.chat && f.stream:
		return "chat.completion.chunk"
	case f.chat:
		return "chat.completion"
	}
	return "text_completion"
}

// commonFields appends the opening brace and the fields with which every object starts.
func (f *completionFormat) commonFields(b []byte) []byte {
	b = append(b, `{"id":`...)
	b = appendString(b, f.id)
	b = append(b, `,"object":"`...)
	b = append(b, f.object()...)
	b = append(b, `","created":`...)
	b = strconv.AppendInt(b, f.created, 10)
	b = append(b, `,"model":`...)
	return appendString(b, f.model)
}

// event appends the event that carries a piece of text.
func (f *completionFormat) event(b []byte, text []byte) []byte {
	if f.prefix == nil {
		f.prefix = f.commonFields([]byte("data: "))
		if f.chat {
			f.prefix = append(f.prefix, `,"choices":[{"index":0,"delta":{"content":`...)
		} else {
			f.prefix = append(f.prefix, `,"choices":[{"index":0,"text":`...)
		}
	}
	b = append(b, f.prefix...)
	b = appendText(b, text)
	if f.chat {
		b = append(b, '}')
	}
	return append(b, ",\"finish_reason\":null}]}\n\n"...)
}

// closingEvents appends the events that end a complete streamed answer.
func (f *completionFormat) closingEvents(b []byte, res *fighollow.GenerateResult) []byte {
	b = append(b, "data: "...)
	b = f.commonFields(b)
	if f.chat {
		b = append(b, `,"choices":[{"index":0,"delta":{},"finish_reason":`...)
	} else {
		b = append(b, `,"choices":[{"index":0,"text":"","finish_reason":`...)
	}
	b = appendString(b, res.FinishReason)
	b = append(b, "}]}\n\n"...)
	if f.usage {
		b = append(b, "data: "...)
		b = f.commonFields(b)
		b = append(b, `,"choices":[],"usage":`...)
		b = appendUsage(b, res)
		b = append(b, "}\n\n"...)
	}
	return append(b, "data: [DONE]\n\n"...)
}

// body returns the body of an answer that is not streamed.
func (f *completionFormat) body(text []byte, res *fighollow.GenerateResult) []byte {
	b := f.commonFields(make([]byte, 0, len(text)+len(text)/8+512))
	if f.chat {
		b = append(b, `,"choices":[{"index":0,"message":{"role":"assistant","content":`...)
		b = appendText(b, text)
		b = append(b, '}')
	} else {
		b = append(b, `,"choices":[{"index":0,"text":`...)
		b = appendText(b, text)
	}
	b = append(b, `,"finish_reason":`...)
	b = appendString(b, res.FinishReason)
	b = append(b, `}],"usage":`...)
	b = appendUsage(b, res)
	return append(b, '}')
}

// partialRuneLen returns the length in bytes of the incomplete character at the end of text, or 0.
func partialRuneLen(text []byte) int {
	for n := 1; n < utf8.UTFMax && n <= len(text); n++ {
		if c := text[len(text)-n]; utf8.RuneStart(c) {
			if utf8.FullRune(text[len(text)-n:]) {
				return 0
			}
			return n
		}
	}
	return 0
}

func appendUsage(b []byte, res *fighollow.GenerateResult) []byte {
	b = append(b, `{"prompt_tokens":`...)
	b = strconv.AppendInt(b, int64(res.PromptTokens), 10)
	b = append(b, `,"completion_tokens":`...)
	b = strconv.AppendInt(b, int64(res.OutputTokens), 10)
	b = append(b, `,"total_tokens":`...)
	b = strconv.AppendInt(b, int64(res.PromptTokens)+int64(res.OutputTokens), 10)
	b = append(b, `,"prompt_tokens_details":{"cached_tokens":`...)
	b = strconv.AppendInt(b, int64(res.CachedTokens), 10)
	return append(b, "}}"...)
}

func appendString(b []byte, s string) []byte {
	q, err := json.Marshal(s)
	if err != nil { // strings always encode
		panic(err)
	}
	return append(b, q...)
}

const hexDigits = "0123456789abcdef"

// appendText appends text as a JSON string without allocating. Invalid UTF-8 is replaced with U+FFFD.
func appendText(b, text []byte) []byte {
	b = append(b, '"')
	for i := 0; i < len(text); {
		c := text[i]
		switch {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c == '\n':
			b = append(b, '\\', 'n')
		case c < 0x20:
			b = append(b, '\\', 'u', '0', '0', hexDigits[c>>4], hexDigits[c&15])
		case c < utf8.RuneSelf:
			b = append(b, c)
		default:
			r, n := utf8.DecodeRune(text[i:])
			b = utf8.AppendRune(b, r)
			i += n
			continue
		}
		i++
	}
	return append(b, '"')
}
