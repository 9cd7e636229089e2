//! Reads the copies on demand, when a stream is taken up whose version no daemon knows.

use {
    super::{Content, Storage},
    crate::{daemon::Daemon, origin},
    ffw_protocol::origin::Record,
    ffw_runtime::{clock, timer},
    log::{info, warn},
    smol::channel::{self, Receiver, Sender},
    std::{sync::Arc, time::Duration},
};

/// Time from the start of one read of the copies to the next one at the earliest.
const READ_INTERVAL: Duration = Duration::from_millis(250);

/// Asks for a read that begins after the question. The answer tells whether it was made.
pub(in crate::origin) type Question = Sender<bool>;

/// Reads all copies by a call that begins after this one; returns false if that fails, or takes
/// longer than `limit`.
pub(in crate::origin) async fn read(daemon: &Daemon, limit: Duration) -> bool {
    let Some(questions) = daemon.origins.questions.get() else { return false };
    let (sender, answer) = channel::bounded(1);
    if questions.send(sender).await.is_err() {
        return false;
    }
    let answered = timer::timeout(limit, answer.recv()).await;
    answered.is_some_and(|is_read| is_read == Ok(true))
}

/// Reads the copies each time that this is asked for. One read answers all questions that came
/// before it began.
pub(super) async fn answer_questions(
    daemon: Arc<Daemon>,
    storage: Storage,
    questions: Receiver<Question>,
) {
    while let Ok(first) = questions.recv().await {
        let mut asked = vec![first];
        while let Ok(next) = questions.try_recv() {
            asked.push(next);
        }
        let began_at = clock::boot_time();
        let is_read = read_all(&daemon, &storage).await;
        for question in asked {
            question.try_send(is_read).ok();
        }
        let elapsed = clock::boot_time().since(began_at);
        timer::sleep(READ_INTERVAL.saturating_sub(elapsed)).await;
    }
}

async fn read_all(daemon: &Daemon, storage: &Storage) -> bool {
    let began_at = clock::boot_time();
    let copies = match (storage.read)().await {
        Ok(copies) => copies,
        Err(error) => {
            warn!("event=origin_copies_unread error=\"{error}\"");
            return false;
        }
    };
    let contents = copies.iter().filter_map(|copy| copy.content.as_ref());
    let records: Vec<Record> = contents.flat_map(Content::records).collect();
    origin::remember(daemon, &records);
    let ms = clock::boot_time().since(began_at).as_millis();
    info!("event=origin_copies_read copies={} records={} ms={ms}", copies.len(), records.len());
    true
}
