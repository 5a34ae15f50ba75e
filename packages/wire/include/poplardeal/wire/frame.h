#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <poplardeal/base/failure.h>
#include <string>
#include <string_view>

namespace poplardeal {

/// What the body of a frame is: the FlatBuffers table of the same name in `messages.fbs`, except `raft`.
enum class frame_kind : std::uint16_t {
    hello = 1,
    raft, ///< Body is the message of the consensus package as it is.
    session_open,
    session_renew,
    session_ack,
    prepare_task,
    start_task,
    stop_task,
    checkpoint_task,
    throttle_task,
    release_task,
    task_report,
    task_report_ack,
    permit_request,
    permit_answer,
    announce,
    deployment_update,
    deployment_ack,
    request,
    response,
    outcome_query,
    claim,
    claim_answer,
    settle,
    settle_ack,
    goodbye,
    control_hint,
    control_probe,
    join_group,
    queue_call,
    queue_answer,
    worker_report,
    worker_orders,
    relay_open,
    operator_call,
    operator_answer,
    leave_group,
    leave_answer,
};

inline constexpr frame_kind lastFrameKind = frame_kind::leave_answer;

/// One message between two processes of the system.
struct frame {
    frame_kind kind { frame_kind::hello };
    std::uint64_t correlation { 0 }; ///< Chosen by the asker, repeated in the answer; 0 for one-way messages.
    std::string body;
};

inline constexpr std::size_t frameHeaderSize = 28;
inline constexpr std::size_t maxControlBody = std::size_t { 1024 } * 1024;
/// Of `request`, `response`, `raft`, `operator_call`, `operator_answer`, `queue_call` and `worker_report`, which cannot
/// be split: up to 16 MiB of payload, such as one log entry, and what surrounds it.
inline constexpr std::size_t maxRequestBody = std::size_t { 17 } * 1024 * 1024;

/// Largest body of a frame of this kind, in bytes.
std::size_t maxFrameBody(frame_kind);

/// Header (little endian): length of the body 4, kind 2, flags 2 (zero), correlation 8, logical clock 8, checksum 4
/// bytes. The checksum covers the body and the header fields before it, because a wrong correlation would hand an
/// answer to another asker. The body is at most `maxFrameBody(kind)` long.
std::string encodeFrame(const frame&);

/// Cuts a stream of bytes into frames.
///
///     decoder.append(received);
///     while (true) {
///         auto next = decoder.next(); // failure: close the connection
///         if (next.has_error() || !next.value())
///             break;
///         handle(*next.value());
///     }
class frame_decoder {
public:
    frame_decoder();
    ~frame_decoder();
    frame_decoder(frame_decoder&&) noexcept;
    frame_decoder& operator=(frame_decoder&&) noexcept;

    void append(std::string_view bytes);
    /// Frames with a larger body are refused as `too_large`, whatever their kind.
    void limitBody(std::size_t most);

    /// The next whole frame, or nothing if more bytes are needed. `corrupt` for an unknown kind, nonzero flags or a
    /// wrong checksum, `too_large` before any memory is taken for the body; after a failure the decoder stays failed.
    result<std::optional<frame>> next();

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace poplardeal
